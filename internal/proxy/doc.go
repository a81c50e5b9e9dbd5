// Package proxy is the reverse proxy of a data plane: it reads clients' requests, has a replica assigned to each, forwards
// it, streams the response back, and rejects what can't be served.
//
// It never sends a request twice unless it is idempotent or the first attempt is proven not to have run, and never passes a
// truncated response on as a complete one. Which replica a request goes to is up to the matcher; which bytes of a response
// count is up to package replica.
//
// Start reading at Handler.ServeHTTP, then exchange.run.
package proxy
