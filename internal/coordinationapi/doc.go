// Package coordinationapi is the HTTP API of the coordination primitives (locks, numbers, keys and watches) at the control
// plane's address.
//
// It parses and validates calls and writes responses; a Service executes the calls. A 412, 429 or 503 guarantees that the call
// has not changed anything and never will; a call whose outcome is unknown is answered 504. Start reading at Register.
package coordinationapi
