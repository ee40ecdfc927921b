package check

import (
	"fmt"
	"os"
	"syscall"
)

// StartBeforeRead starts a process whose first read of a file blocks, and returns once the process
// reads it. The returned function writes the file's content; later reads do not block.
func StartBeforeRead(path string, content []byte, start func() error) (write func() error, err error) {
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		return nil, fmt.Errorf("create pipe: %w", err)
	}
	if err := start(); err != nil {
		return nil, err
	}
	// Opening returns once there is a reader.
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		return nil, fmt.Errorf("open pipe: %w", err)
	}
	return func() error {
		defer func() { _ = pipe.Close() }()
		if err := os.WriteFile(path+".new", content, 0o600); err != nil {
			return fmt.Errorf("write file: %w", err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			return fmt.Errorf("replace pipe by file: %w", err)
		}
		if _, err := pipe.Write(content); err != nil {
			return fmt.Errorf("write to pipe: %w", err)
		}
		return nil
	}, nil
}
