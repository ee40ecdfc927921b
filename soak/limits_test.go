package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumhook/gypsum/check"
)

// TestConfiguredLimits checks that the limits of the configuration for clients are in force, and that
// changed ones are: the size of a head, the time in which it must come, and the idle time of a connection,
// of which clients use up to four fifths.
func TestConfiguredLimits(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t, 1)
	daemon := env.daemons[0]
	statusOf := func(headBytes int) int {
		ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
		defer cancel()
		status, err := check.StatusOf(ctx, daemon.address(), wholeRequest(http.MethodGet, "/i/limits", fmt.Appendf(nil, "a: %s\r\n", strings.Repeat("x", headBytes)), 0, nil))
		is.NoErr(err)
		return status
	}
	setLimits := func(revision, headBytes int, headTime, idleTime time.Duration) {
		config := env.newConfiguration(revision)
		config["limits"] = map[string]any{"max_header_bytes": headBytes, "max_body_bytes": 1 << 20, "header_timeout_ms": headTime.Milliseconds(), "idle_timeout_ms": idleTime.Milliseconds()}
		env.putRecord("keyed.op", "config", config)
		time.Sleep(time.Second)
	}
	is.Equal(statusOf(15<<10), http.StatusOK)
	is.Equal(statusOf(40<<10), http.StatusRequestHeaderFieldsTooLarge)
	setLimits(2, 48<<10, 300*time.Millisecond, time.Second)
	is.Equal(statusOf(40<<10), http.StatusOK)
	is.Equal(statusOf(60<<10), http.StatusRequestHeaderFieldsTooLarge)
	setLimits(3, 4<<10, 300*time.Millisecond, time.Second)
	is.Equal(statusOf(3<<10), http.StatusOK)
	is.Equal(statusOf(15<<10), http.StatusRequestHeaderFieldsTooLarge)

	dial := func() net.Conn {
		conn, err := net.Dial("tcp", daemon.address())
		is.NoErr(err)
		t.Cleanup(func() { _ = conn.Close() })
		is.NoErr(conn.SetDeadline(time.Now().Add(20 * time.Second)))
		return conn
	}
	conn := dial()
	reader := bufio.NewReader(conn)
	for range 2 {
		_, err := conn.Write(wholeRequest(http.MethodGet, "/i/limits", nil, 0, nil))
		is.NoErr(err)
		response, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusOK)
		_, err = io.Copy(io.Discard, response.Body)
		is.NoErr(err)
		time.Sleep(800 * time.Millisecond)
	}
	_, err := reader.ReadByte()
	is.Equal(err, io.EOF) // idle
	conn = dial()
	_, err = io.WriteString(conn, requestHead(http.MethodGet, "/i/limits", ""))
	is.NoErr(err)
	content, err := io.ReadAll(conn)
	is.NoErr(err)
	is.True(strings.HasPrefix(string(content), "HTTP/1.1 408 ")) // slow
}
