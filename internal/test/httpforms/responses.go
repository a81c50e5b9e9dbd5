package httpforms

import (
	"fmt"
	"strings"
)

// ResponseBody is the body of every response form that has one.
const ResponseBody = "answer"

// Stray is a response that no request asked for. It stands behind responses, where a client may take it for the next one.
const Stray = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"

// Response is a form of a response message.
type Response struct {
	Name string
	// Raw is the whole message.
	Raw string
	// Method is the request's method if it is not POST.
	Method string
	// Complete is set if HTTP allows the form: a client takes the message as complete and may reuse the connection. Any other form
	// must never look complete.
	Complete bool
	// Status and Body are what a client gets of a complete response.
	Status int
	Body   string
}

const (
	okLine     = "HTTP/1.1 200 OK\r\n"
	codingLine = "Transfer-Encoding: chunked\r\n"
)

func lengthLine() string { return fmt.Sprintf("Content-Length: %d\r\n", len(ResponseBody)) }

func chunkedResponse(body string) string { return okLine + codingLine + "\r\n" + body }

func oneChunk() string { return fmt.Sprintf("%x\r\n%s\r\n", len(ResponseBody), ResponseBody) }

func plainResponse(lines string) string { return okLine + lines + "\r\n" + ResponseBody }

// AmbiguousResponses returns the forms that break HTTP/1.1 or can be read in two ways.
func AmbiguousResponses() []Response {
	chunks := oneChunk() + chunksEnd
	forms := map[string]string{
		"length and chunks":               okLine + lengthLine() + codingLine + "\r\n" + chunks,
		"chunks and length":               okLine + codingLine + "Content-Length: 4\r\n\r\n" + chunks,
		"two lengths":                     plainResponse(lengthLine() + "Content-Length: 2\r\n"),
		"list of lengths":                 plainResponse("Content-Length: 6, 6\r\n"),
		"signed length":                   plainResponse("Content-Length: +6\r\n"),
		"chunked twice":                   okLine + codingLine + codingLine + "\r\n" + chunks,
		"unknown coding":                  okLine + "Transfer-Encoding: gzip, chunked\r\n\r\n" + chunks,
		"chunks in HTTP/1.0":              "HTTP/1.0 200 OK\r\n" + codingLine + "\r\n" + chunks,
		"folded coding":                   okLine + "Transfer-Encoding:\r\n chunked\r\n\r\n" + chunks,
		"space before colon":              plainResponse("Content-Length : 6\r\n"),
		"lone LF in field":                plainResponse("Note: a\n" + lengthLine()),
		"lone CR in field":                plainResponse("Note: a\rb\r\n" + lengthLine()),
		"status of two digits":            strings.Replace(plainResponse(lengthLine()), "200", "20", 1),
		"HTTP/2.0":                        strings.Replace(plainResponse(lengthLine()), "1.1", "2.0", 1),
		"switching protocols":             "HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\nConnection: Upgrade\r\n\r\n",
		"chunk size with prefix":          chunkedResponse("0x" + chunks),
		"chunk longer than its size":      chunkedResponse("2\r\n" + ResponseBody + "\r\n" + chunksEnd),
		"chunk size with lone LF":         chunkedResponse("6\n" + ResponseBody + "\r\n" + chunksEnd),
		"length in trailer":               chunkedResponse(oneChunk() + "0\r\nContent-Length: 1\r\n\r\n"),
		"trailer ends with lone LF":       chunkedResponse(oneChunk() + "0\r\nSum: 1\r\n\n"),
		"interim response with two codes": "HTTP/1.1 1000 Continue\r\n\r\n" + plainResponse(lengthLine()),
	}
	var all []Response
	for name, raw := range forms {
		all = append(all, Response{Name: name, Raw: raw})
	}
	return all
}

// CompleteResponses returns rarer forms that HTTP allows.
func CompleteResponses() []Response {
	const ok, notModified, noContent = 200, 304, 204
	interim := "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
	all := []Response{
		{Name: "plain", Raw: plainResponse(lengthLine())},
		{Name: "the same length twice", Raw: plainResponse(lengthLine() + lengthLine())},
		{Name: "names in any case", Raw: plainResponse("content-LENGTH:6 \r\n")},
		{Name: "no reason", Raw: strings.Replace(plainResponse(lengthLine()), " OK", " ", 1)},
		{Name: "interim responses before", Raw: interim + plainResponse(lengthLine())},
		{Name: "chunks", Raw: chunkedResponse(oneChunk() + chunksEnd)},
		{Name: "two chunks", Raw: chunkedResponse("2\r\nan\r\n4\r\nswer\r\n" + chunksEnd)},
		{Name: "chunk extensions and trailer", Raw: chunkedResponse("6;a=b\r\n" + ResponseBody + "\r\n0\r\nSum: 1\r\n\r\n")},
	}
	for index := range all {
		all[index].Status, all[index].Body = ok, ResponseBody
	}
	all = append(all,
		Response{Name: "to HEAD", Method: "HEAD", Status: ok, Raw: okLine + lengthLine() + "\r\n"},
		Response{Name: "to HEAD with chunks", Method: "HEAD", Status: ok, Raw: okLine + codingLine + "\r\n"},
		Response{Name: "not modified", Status: notModified, Raw: "HTTP/1.1 304 Not Modified\r\n" + lengthLine() + "\r\n"},
		Response{Name: "no content", Status: noContent, Raw: "HTTP/1.1 204 No Content\r\n\r\n"},
	)
	for index := range all {
		all[index].Complete = true
	}
	return all
}
