package backendapi_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/backendapi"
	"github.com/quartzdock/quartzdock/internal/upstream"
)

// An answer to a message of grants was taken for the answer to the next one. A shard could then be given to
// another back end before its own one had read that it is revoked.
func TestAnswersToEarlierMessagesAreNotBelieved(t *testing.T) {
	const reading = `{"boot":"b","clock_ms":1000,"sequence":%d}`
	message := backendapi.Grants{Boot: "b", Sequence: 7, Grants: []backendapi.Grant{{Shard: "1/2", Epoch: 4}}, Revoked: []string{"1/1"}}
	for _, test := range []struct {
		name   string
		status int
		answer string
		want   error
	}{
		{"applied", http.StatusOK, fmt.Sprintf(reading, 7), nil},
		{"to an earlier message", http.StatusOK, fmt.Sprintf(reading, 6), backendapi.ErrSurplusAnswer},
		{"of another process", http.StatusOK, `{"boot":"c","clock_ms":1000,"sequence":7}`, backendapi.ErrSurplusAnswer},
		{"overtaken", http.StatusPreconditionFailed, fmt.Sprintf(reading, 8), backendapi.ErrStaleMessage},
		{"an earlier message was overtaken", http.StatusPreconditionFailed, fmt.Sprintf(reading, 6), backendapi.ErrSurplusAnswer},
		{"restarted", http.StatusPreconditionFailed, `{"boot":"c","clock_ms":5,"sequence":0}`, backendapi.ErrRestarted},
		{"lower epoch of another message", http.StatusConflict, `{"shard":"1/9","epoch":4,"highest":5}`, backendapi.ErrSurplusAnswer},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(test.status)
				_, _ = fmt.Fprint(w, test.answer)
			}))
			defer server.Close()
			address := server.Listener.Addr().String()
			pool, err := upstream.New(upstream.Config{Address: address, MinWarm: -1})
			assert.NilError(t, err)
			defer pool.Close()
			_, err = backendapi.New(pool, address).Grant(t.Context(), message)
			assert.ErrorIs(t, err, test.want)
		})
	}
}
