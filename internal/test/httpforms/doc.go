// Package httpforms lists the forms of HTTP/1.1 messages (RFC 9112) with the verdict that a recipient must reach, for tests of
// every listener and every client.
package httpforms
