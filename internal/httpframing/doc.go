// Package httpframing checks HTTP/1.1 messages below net/http, on the bytes of a connection, so that both ends agree on where
// each message ends (RFC 9112).
//
// net/http accepts some messages that other implementations read differently; a message with both a Content-Length and chunks is
// one. Whatever follows such a message may be a request to one reader and part of a body to the other. A server connection
// (Serve) holds back each request header until it is complete and unambiguous, and answers any other one with an error, after
// which it reads no further request. A client connection (CheckResponses) fails at the first byte that is not part of an
// unambiguous response to the request that was written.
//
// Start reading at headParser, then serverConn.Read and clientConn.Read.
package httpframing
