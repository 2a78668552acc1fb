package upstream

import (
	"bufio"
	"net/http"
	"strings"
)

// writeRequest writes a request as http.Request.Write does, which sorts the
// header and looks at much that a look-up has not got. Requests without a body
// and without anything unusual are written directly.
func writeRequest(writer *bufio.Writer, request *http.Request) error {
	if !isPlain(request) {
		return request.Write(writer)
	}
	target := request.URL.RequestURI()
	if !isPrintable(target) {
		return request.Write(writer)
	}
	for name, values := range request.Header {
		if !isToken(name) {
			return request.Write(writer)
		}
		for _, value := range values {
			if strings.ContainsAny(value, "\r\n\x00") {
				return request.Write(writer)
			}
		}
	}
	// A failed write sticks to the writer and is returned by Flush.
	_, _ = writer.WriteString(request.Method)
	_ = writer.WriteByte(' ')
	_, _ = writer.WriteString(target)
	_, _ = writer.WriteString(" HTTP/1.1\r\n")
	writeField(writer, "Host", request.Host)
	for name, values := range request.Header {
		if isWrittenApart(name) {
			continue
		}
		for _, value := range values {
			writeField(writer, name, value)
		}
	}
	if agent := request.Header["User-Agent"]; len(agent) > 0 && agent[0] != "" {
		writeField(writer, "User-Agent", agent[0])
	}
	_, err := writer.WriteString("\r\n")
	return err
}

func writeField(writer *bufio.Writer, name, value string) {
	_, _ = writer.WriteString(name)
	_, _ = writer.WriteString(": ")
	_, _ = writer.WriteString(strings.Trim(value, " \t"))
	_, _ = writer.WriteString("\r\n")
}

// isPlain says that a request is a look-up without body, trailer or wish for
// the connection's end, to a host of plain characters, and states its agent
// (net/http adds its own where the header is absent).
func isPlain(request *http.Request) bool {
	if request.Body != nil && request.Body != http.NoBody || request.ContentLength != 0 ||
		request.Close || len(request.Trailer) > 0 || len(request.TransferEncoding) > 0 {
		return false
	}
	if request.Method != http.MethodGet && request.Method != http.MethodHead {
		return false
	}
	_, statesAgent := request.Header["User-Agent"]
	return statesAgent && isHost(request.Host)
}

// isWrittenApart names the fields that net/http writes from other members of a
// request.
func isWrittenApart(name string) bool {
	switch name {
	case "Host", "User-Agent", "Content-Length", "Transfer-Encoding", "Trailer":
		return true
	}
	return false
}

func isHost(host string) bool {
	for i := range len(host) {
		if !isAlphanumeric(host[i]) && !strings.ContainsRune(".:-[]", rune(host[i])) {
			return false
		}
	}
	return host != ""
}

// isToken says that a field name consists of letters, digits and hyphens.
func isToken(name string) bool {
	for i := range len(name) {
		if !isAlphanumeric(name[i]) && name[i] != '-' {
			return false
		}
	}
	return name != ""
}

// isPrintable says that there is neither space nor control character.
func isPrintable(text string) bool {
	for i := range len(text) {
		if text[i] <= ' ' || text[i] == 0x7f {
			return false
		}
	}
	return text != ""
}

func isAlphanumeric(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
}
