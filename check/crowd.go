package check

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumhook/gypsum"
)

// crowdReceiveBuffer is the receive buffer of a crowd's connections in bytes, so that what is not
// read stays at the server.
const crowdReceiveBuffer = 4 << 10

// redialDelay is the pause of a member of a crowd before it connects again.
const redialDelay = 100 * time.Millisecond

// Behaviour is what a member of a crowd does with a connection, until ctx is done or the connection
// fails. member is the index of the member.
type Behaviour func(ctx context.Context, conn net.Conn, member int) error

// Crowd is a number of clients that behave in the same way.
type Crowd struct {
	cancel  context.CancelFunc
	members sync.WaitGroup
}

// StartCrowd starts size clients of an address. Each connects again after its connection has ended.
// The caller must call Stop.
func StartCrowd(ctx context.Context, address string, size int, behave Behaviour) *Crowd {
	ctx, cancel := context.WithCancel(ctx)
	crowd := &Crowd{cancel: cancel}
	for member := range size {
		crowd.members.Go(func() {
			for ctx.Err() == nil {
				// A refusal is what the server may do, so errors end just this connection.
				_ = runMember(ctx, address, member, behave)
				select {
				case <-ctx.Done():
				case <-time.After(redialDelay):
				}
			}
		})
	}
	return crowd
}

// Stop ends all clients and closes their connections.
func (c *Crowd) Stop() {
	c.cancel()
	c.members.Wait()
}

// runMember runs a behaviour on one connection.
func runMember(ctx context.Context, address string, member int, behave Behaviour) error {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, crowdReceiveBuffer)
		})
	}}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("dial: %w", err)
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })()
	return behave(ctx, conn, member)
}

// SendAndHold returns a behaviour that sends the same bytes and then reads nothing and sends nothing
// more until the server closes the connection.
func SendAndHold(content []byte) Behaviour {
	return func(ctx context.Context, conn net.Conn, _ int) error {
		if _, err := conn.Write(content); err != nil {
			return fmt.Errorf("send: %w", err)
		}
		return hold(ctx, conn)
	}
}

// hold waits until the peer has closed the connection, or ctx is done. It leaves the bytes of a
// response in the buffers.
func hold(ctx context.Context, conn net.Conn) error {
	// One byte a second is read: the close is seen behind what is not read.
	one := make([]byte, 1)
	for ctx.Err() == nil {
		if _, err := conn.Read(one); err != nil {
			return fmt.Errorf("closed by the server: %w", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
	return ctx.Err()
}

// SendForever returns a behaviour that sends start and then the same bytes again and again.
func SendForever(start, again []byte) Behaviour {
	return func(ctx context.Context, conn net.Conn, _ int) error {
		content := start
		for ctx.Err() == nil {
			if _, err := conn.Write(content); err != nil {
				return fmt.Errorf("send: %w", err)
			}
			content = again
		}
		return ctx.Err()
	}
}

// SendSlowly returns a behaviour that sends start and then one byte of rest each interval.
func SendSlowly(start, rest []byte, interval time.Duration) Behaviour {
	return func(ctx context.Context, conn net.Conn, _ int) error {
		if _, err := conn.Write(start); err != nil {
			return fmt.Errorf("send: %w", err)
		}
		for i := range rest {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(interval):
			}
			if _, err := conn.Write(rest[i : i+1]); err != nil {
				return fmt.Errorf("send: %w", err)
			}
		}
		return hold(ctx, conn)
	}
}

// RequestForever returns a behaviour that sends one request after the other and reads each response. All members
// call next for their requests.
func RequestForever(next func() []byte) Behaviour {
	return func(ctx context.Context, conn net.Conn, _ int) error {
		reader := bufio.NewReader(conn)
		for ctx.Err() == nil {
			if _, err := conn.Write(next()); err != nil {
				return fmt.Errorf("send: %w", err)
			}
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				return fmt.Errorf("read response: %w", err)
			}
			if err := response.Body.Close(); err != nil {
				return fmt.Errorf("read body: %w", err)
			}
		}
		return ctx.Err()
	}
}

// HeaderLines returns header lines of at most size bytes in all, each with a name of its own that
// begins with prefix and an empty value.
func HeaderLines(prefix string, size int) []byte {
	var lines bytes.Buffer
	for i := 0; ; i++ {
		line := prefix + strconv.FormatInt(int64(i), 36) + ":\r\n"
		if lines.Len()+len(line) > size {
			return lines.Bytes()
		}
		lines.WriteString(line)
	}
}

// Compressed returns size equal bytes, compressed with gzip.
func Compressed(size int) ([]byte, error) {
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	if _, err := io.CopyN(w, zeros{}, int64(size)); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	return compressed.Bytes(), nil
}

// zeros is a reader of zeros without end.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(content []byte) (int, error) {
	clear(content)
	return len(content), nil
}

// CBORObjects returns a CBOR message whose field with a number is an array of count empty objects.
func CBORObjects(field byte, count uint32) []byte {
	message := binary.BigEndian.AppendUint32([]byte{0xa1, field, 0x9a}, count)
	return append(message, bytes.Repeat([]byte{0xa0}, int(count))...)
}

// StatusOf sends a request on a new connection and returns the status of the response.
func StatusOf(ctx context.Context, address string, request []byte) (int, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return 0, fmt.Errorf("dial: %w", err)
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })()
	if _, err := conn.Write(request); err != nil {
		return 0, fmt.Errorf("send: %w", err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, fmt.Errorf("read response: %w", err)
	}
	return response.StatusCode, response.Body.Close()
}

// PeakMemory returns the largest amount of memory that a process has occupied.
func PeakMemory(pid int) (gypsum.Bytes, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, fmt.Errorf("read state of process: %w", err)
	}
	scanner := bufio.NewScanner(bytes.NewReader(content))
	for scanner.Scan() {
		value, ok := strings.CutPrefix(scanner.Text(), "VmHWM:")
		if !ok {
			continue
		}
		kilobytes, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
		if err != nil {
			return 0, fmt.Errorf("decode peak memory: %w", err)
		}
		return gypsum.Bytes(kilobytes << 10), nil
	}
	return 0, errNoPeakMemory
}

// errNoPeakMemory means that the state of a process has no peak memory, as that of one that has ended.
var errNoPeakMemory = errors.New("process has no memory")

// OpenDescriptors returns the number of descriptors that a process has open.
func OpenDescriptors(pid int) (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0, fmt.Errorf("list descriptors: %w", err)
	}
	return len(entries), nil
}
