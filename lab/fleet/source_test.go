package fleet

import (
	"net"
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

func TestSourceNamesTheProcessThatConnected(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer client.Close()
	accepted, err := listener.Accept()
	assert.NilError(t, err)
	defer accepted.Close()

	own := newLinks(1, 1, func() map[int]string { return map[int]string{os.Getpid(): "self"} })
	assert.Equal(t, own.source(accepted), "self")
	none := newLinks(1, 1, func() map[int]string { return nil })
	assert.Equal(t, none.source(accepted), "")
}
