// Package docs contains only tests. They check the documentation against the code, so that references in a page to files,
// packages and log messages remain valid when the code changes.
package docs
