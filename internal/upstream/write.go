package upstream

import (
	"bufio"
	"net/http"
	"strings"
)

// writeRequest writes a request that a server reads like the one that
// http.Request.Write writes. It is faster for simple requests without a body,
// as http.Request.Write sorts the header and handles many cases that these
// don't have. All others are left to http.Request.Write.
func writeRequest(writer *bufio.Writer, request *http.Request) error {
	if !isSimpleRequest(request) {
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
	// The writer keeps the first error, and Flush returns it.
	_, _ = writer.WriteString(request.Method)
	_ = writer.WriteByte(' ')
	_, _ = writer.WriteString(target)
	_, _ = writer.WriteString(" HTTP/1.1\r\n")
	writeField(writer, "Host", request.Host)
	for name, values := range request.Header {
		if isReservedField(name) {
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

// isSimpleRequest reports whether a request is a GET or HEAD without body,
// trailer or "Connection: close", to a host of plain characters, with a
// User-Agent field (net/http adds its own where that is absent).
func isSimpleRequest(request *http.Request) bool {
	if request.Body != nil && request.Body != http.NoBody || request.ContentLength != 0 ||
		request.Close || len(request.Trailer) > 0 || len(request.TransferEncoding) > 0 {
		return false
	}
	if request.Method != http.MethodGet && request.Method != http.MethodHead {
		return false
	}
	_, hasUserAgent := request.Header["User-Agent"]
	return hasUserAgent && isHost(request.Host)
}

// isReservedField reports whether net/http ignores a field in the header, because
// it writes it from another field of the request, or handles it on its own.
func isReservedField(name string) bool {
	switch name {
	case "Host", "User-Agent", "Content-Length", "Transfer-Encoding", "Trailer":
		return true
	}
	return false
}

// isHost reports whether a host consists of letters, digits and the characters
// of IP addresses and ports.
func isHost(host string) bool {
	for i := range len(host) {
		if !isAlphanumeric(host[i]) && !strings.ContainsRune(".:-[]", rune(host[i])) {
			return false
		}
	}
	return host != ""
}

// isToken reports whether a field name consists of letters, digits and hyphens.
func isToken(name string) bool {
	for i := range len(name) {
		if !isAlphanumeric(name[i]) && name[i] != '-' {
			return false
		}
	}
	return name != ""
}

// isPrintable reports whether a text is not empty and has neither spaces nor
// ASCII control characters.
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
