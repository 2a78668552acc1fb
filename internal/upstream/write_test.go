package upstream

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// A server must read the same request from either writer, whatever a caller
// put into it.
func TestRequestIsWrittenAsByTheLibrary(t *testing.T) {
	set := func(name string, values ...string) func(*http.Request) {
		return func(r *http.Request) { r.Header[name] = values }
	}
	cases := map[string]func(*http.Request){
		"plain":              func(*http.Request) {},
		"several values":     set("Accept", "text/html", "image/png"),
		"no value":           set("Accept"),
		"empty value":        set("X-Empty", ""),
		"spaces around":      set("X-Spaces", "  a b \t"),
		"line break":         set("X-Break", "a\r\nX-Injected: b"),
		"zero byte":          set("X-Zero", "a\x00b"),
		"broken name":        set("X Broken", "a"),
		"empty name":         set("", "a"),
		"an agent":           set("User-Agent", "app/1"),
		"two agents":         set("User-Agent", "app/1", "app/2"),
		"empty agent":        set("User-Agent", ""),
		"no agent stated":    func(r *http.Request) { delete(r.Header, "User-Agent") },
		"own length":         set("Content-Length", "7"),
		"own encoding":       set("Transfer-Encoding", "chunked"),
		"own host":           set("Host", "elsewhere"),
		"own trailer":        set("Trailer", "X-End"),
		"head":               func(r *http.Request) { r.Method = http.MethodHead },
		"post":               func(r *http.Request) { r.Method = http.MethodPost },
		"strange method":     func(r *http.Request) { r.Method = "GET /x HTTP/1.1\r\n" },
		"closes":             func(r *http.Request) { r.Close = true },
		"escaped path":       func(r *http.Request) { r.URL.Path, r.URL.RawPath = "/a/b", "/a%2Fb" },
		"query":              func(r *http.Request) { r.URL.RawQuery = "floor=2&x=%20" },
		"line break in path": func(r *http.Request) { r.URL.Opaque = "/a\r\nX: b" },
		"strange host":       func(r *http.Request) { r.Host = "a/b c" },
		"host of the URL":    func(r *http.Request) { r.Host = "" },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			request, err := http.NewRequest(http.MethodGet, "http://10.0.0.1:7201/keyed/plans/gate-7", nil)
			assert.NilError(t, err)
			request.Header["User-Agent"] = nil
			request.Header.Set("Quartzdock-Epoch", "17")
			change(request)
			want, wantErr := written(func(w *bufio.Writer) error { return request.Write(w) })
			got, gotErr := written(func(w *bufio.Writer) error { return writeRequest(w, request) })
			assert.Equal(t, gotErr != nil, wantErr != nil, "%v, the library says %v", gotErr, wantErr)
			if wantErr != nil {
				return
			}
			wanted, wantErr := http.ReadRequest(bufio.NewReader(bytes.NewReader(want)))
			read, gotErr := http.ReadRequest(bufio.NewReader(bytes.NewReader(got)))
			assert.Equal(t, gotErr != nil, wantErr != nil, "%q is read with %v, the library's %q with %v", got, gotErr, want, wantErr)
			if wantErr != nil {
				return
			}
			assert.Equal(t, len(got), len(want), "%q is as long as %q", got, want)
			assert.DeepEqual(t, read.Header, wanted.Header)
			assert.Equal(t, read.Method+" "+read.RequestURI+" "+read.Host, wanted.Method+" "+wanted.RequestURI+" "+wanted.Host)
		})
	}
}

func written(write func(*bufio.Writer) error) ([]byte, error) {
	var buffer bytes.Buffer
	writer := bufio.NewWriter(&buffer)
	if err := write(writer); err != nil {
		return nil, err
	}
	err := writer.Flush()
	return buffer.Bytes(), err
}
