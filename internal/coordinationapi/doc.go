// Package coordinationapi serves the calls by which applications coordinate: locks, numbers, keys and watches, at the control
// plane's address.
//
// It parses and checks calls and writes answers; who carries them out is a Service. A 412, 429 or 503 promises that the call has
// changed nothing and never will; a call whose outcome is not known is answered 504. Start reading at NewHandler.
package coordinationapi
