// Package proxy implements the reverse proxy of a data plane: it reads client requests, obtains a replica for each from the
// matcher, forwards the request, streams the response back, and rejects requests that cannot be served.
//
// A request is sent a second time only if it is idempotent or the previous attempt is proven not to have been executed. A
// truncated response is never passed on as a complete one. Package routing chooses the replica; package replica decides whether
// a response is valid.
//
// Start reading at Handler.ServeHTTP, then exchange.run.
package proxy
