package fake

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// ConnectionBuffers returns the most bytes that the kernel holds for one TCP connection between two processes of this
// machine: the largest receive and send buffer (tcp(7), tcp_rmem and tcp_wmem).
func ConnectionBuffers() (int64, error) {
	total := int64(0)
	for _, name := range []string{"tcp_rmem", "tcp_wmem"} {
		content, err := os.ReadFile("/proc/sys/net/ipv4/" + name)
		if err != nil {
			return 0, fmt.Errorf("read limit of buffers: %w", err)
		}
		fields := strings.Fields(string(content))
		largest, err := strconv.ParseInt(fields[len(fields)-1], 10, 64)
		if err != nil {
			return 0, fmt.Errorf("decode %s: %w", name, err)
		}
		total += largest
	}
	return total, nil
}
