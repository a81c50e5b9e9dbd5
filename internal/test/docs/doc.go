// Package docs has tests only: they hold the pages of the repository against its code, so that a page that names a file,
// a package or a log message stays true when the code moves.
package docs
