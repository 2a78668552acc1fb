package upstream

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// A server must read the same request from writeRequest and from
// http.Request.Write, whatever a caller put into it.
func TestWriteRequestMatchesNetHTTP(t *testing.T) {
	set := func(name string, values ...string) func(*http.Request) {
		return func(r *http.Request) { r.Header[name] = values }
	}
	cases := map[string]func(*http.Request){
		"plain":                   func(*http.Request) {},
		"several values":          set("Accept", "text/html", "image/png"),
		"no value":                set("Accept"),
		"empty value":             set("X-Empty", ""),
		"surrounding spaces":      set("X-Spaces", "  a b \t"),
		"line break":              set("X-Break", "a\r\nX-Injected: b"),
		"zero byte":               set("X-Zero", "a\x00b"),
		"invalid name":            set("X Broken", "a"),
		"empty name":              set("", "a"),
		"user agent":              set("User-Agent", "app/1"),
		"two user agents":         set("User-Agent", "app/1", "app/2"),
		"empty user agent":        set("User-Agent", ""),
		"no user agent":           func(r *http.Request) { delete(r.Header, "User-Agent") },
		"content length field":    set("Content-Length", "7"),
		"transfer encoding field": set("Transfer-Encoding", "chunked"),
		"host field":              set("Host", "elsewhere"),
		"trailer field":           set("Trailer", "X-End"),
		"head":                    func(r *http.Request) { r.Method = http.MethodHead },
		"post":                    func(r *http.Request) { r.Method = http.MethodPost },
		"invalid method":          func(r *http.Request) { r.Method = "GET /x HTTP/1.1\r\n" },
		"connection close":        func(r *http.Request) { r.Close = true },
		"escaped path":            func(r *http.Request) { r.URL.Path, r.URL.RawPath = "/a/b", "/a%2Fb" },
		"query":                   func(r *http.Request) { r.URL.RawQuery = "floor=2&x=%20" },
		"line break in path":      func(r *http.Request) { r.URL.Opaque = "/a\r\nX: b" },
		"invalid host":            func(r *http.Request) { r.Host = "a/b c" },
		"host of the URL":         func(r *http.Request) { r.Host = "" },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			request, err := http.NewRequest(http.MethodGet, "http://10.0.0.1:7201/keyed/plans/gate-7", nil)
			assert.NilError(t, err)
			request.Header["User-Agent"] = nil
			request.Header.Set("Quartzdock-Epoch", "17")
			change(request)
			want, wantErr := captureWrite(func(w *bufio.Writer) error { return request.Write(w) })
			got, gotErr := captureWrite(func(w *bufio.Writer) error { return writeRequest(w, request) })
			assert.Equal(t, gotErr != nil, wantErr != nil, "error %v, net/http returns %v", gotErr, wantErr)
			if wantErr != nil {
				return
			}
			wantRequest, wantErr := http.ReadRequest(bufio.NewReader(bytes.NewReader(want)))
			gotRequest, gotErr := http.ReadRequest(bufio.NewReader(bytes.NewReader(got)))
			assert.Equal(t, gotErr != nil, wantErr != nil, "reading %q: error %v, reading %q of net/http: error %v", got, gotErr, want, wantErr)
			if wantErr != nil {
				return
			}
			assert.Equal(t, len(got), len(want), "length of %q, want that of %q", got, want)
			assert.DeepEqual(t, gotRequest.Header, wantRequest.Header)
			assert.Equal(t, gotRequest.Method+" "+gotRequest.RequestURI+" "+gotRequest.Host, wantRequest.Method+" "+wantRequest.RequestURI+" "+wantRequest.Host)
		})
	}
}

// captureWrite returns the bytes that a function writes.
func captureWrite(write func(*bufio.Writer) error) ([]byte, error) {
	var buffer bytes.Buffer
	writer := bufio.NewWriter(&buffer)
	if err := write(writer); err != nil {
		return nil, err
	}
	err := writer.Flush()
	return buffer.Bytes(), err
}
