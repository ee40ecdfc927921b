package wire

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"

	"github.com/gypsumhook/gypsum"
)

// ErrInvalidResponse is returned for a response that is not one by RFC 9110 and RFC 9112, or whose head is
// beyond a limit. The request may have run.
var ErrInvalidResponse = fmt.Errorf("invalid response: %w", gypsum.ErrIncompleteResponse)

// Limits of the heads of the responses to one request.
const (
	// MaxResponseHeaderBytes limits the size of the heads. A server in trouble may send one without an
	// end.
	MaxResponseHeaderBytes = 64 << 10
	// maxResponseFields limits the fields of a head, of which each takes some hundred bytes when decoded.
	maxResponseFields = 256
	// maxInterimResponses limits the responses before the final one (RFC 9110, 15.2).
	maxInterimResponses = 16
	// maxLineStart is how much of a line is kept, enough for the status and for the name of a field.
	maxLineStart = 256
)

// Statuses of responses (RFC 9110, 15).
const (
	minFinalStatus = 200
	maxStatus      = 599
	// minErrorStatus is the lowest status of an error.
	minErrorStatus = "400"
)

// CheckHead returns ErrInvalidResponse if the status is not that of a final response, or a name or value of the
// header is invalid. It is for responses that did not come on a connection of a ResponseTransport.
func CheckHead(status int, header http.Header) error {
	if status < minFinalStatus || status > maxStatus {
		return fmt.Errorf("status %d: %w", status, ErrInvalidResponse)
	}
	for name, values := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("field name %q: %w", name, ErrInvalidResponse)
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return fmt.Errorf("value of field %s: %w", name, ErrInvalidResponse)
			}
		}
	}
	return nil
}

// headScanner checks the heads of the responses to one request, as their bytes arrive, for what net/http accepts
// or removes before it can be seen: any number as a status, names with blanks, folded lines, a second framing,
// very many fields or interim responses. Everything else is left to net/http.
type headScanner struct {
	// line is the start of the current line, up to maxLineStart bytes.
	line []byte
	// lines is the number of complete lines of the current head, interim that of earlier heads.
	lines, interim int
	status         string
	isHTTP10       bool
	hasLength      bool
	hasCoding      bool
	// isFinished means that the final head is complete.
	isFinished bool
	// errorAt is where the status line of an error ends among the bytes that were scanned last, 0 if it does not.
	errorAt int
}

// scan checks bytes of heads. It ignores those after the final head.
func (s *headScanner) scan(data []byte) error {
	s.errorAt = 0
	errorAt, size := 0, len(data)
	defer func() { s.errorAt = errorAt }()
	for len(data) > 0 && !s.isFinished {
		part, rest, isEnded := bytes.Cut(data, []byte("\n"))
		data = rest
		s.line = append(s.line, part[:min(len(part), maxLineStart-len(s.line))]...)
		if !isEnded {
			return nil
		}
		if err := s.endLine(string(bytes.TrimSuffix(s.line, []byte("\r")))); err != nil {
			return fmt.Errorf("%w: %w", ErrInvalidResponse, err)
		}
		s.line = s.line[:0]
		if s.lines == 1 && s.status >= minErrorStatus {
			errorAt = size - len(data)
		}
	}
	return nil
}

// endLine checks the start of a complete line.
func (s *headScanner) endLine(line string) error {
	s.lines++
	switch {
	case s.lines == 1:
		return s.checkStatusLine(line)
	case line == "":
		return s.endHead()
	case s.lines > maxResponseFields+1:
		return errors.Errorf("more than %d fields", maxResponseFields)
	}
	return s.checkField(line)
}

// checkStatusLine checks the line "HTTP/1.1 200 OK", whose last word and the blank before it may be missing.
func (s *headScanner) checkStatusLine(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	status, _, _ := strings.Cut(rest, " ")
	switch {
	case version != "HTTP/1.1" && version != "HTTP/1.0":
		return errors.Errorf("status line %q", line)
	case len(status) != 3 || strings.Trim(status, "0123456789") != "" || status < "100" || status > "599":
		return errors.Errorf("status %q", status)
	case status == "101":
		return errors.New("upgrade that was not requested")
	}
	s.status, s.isHTTP10 = status, version == "HTTP/1.0"
	return nil
}

// checkField checks the line of a field. A line that begins with a blank continues the one before (RFC 9112, 5.2);
// it may as well be a field of its own with a broken name.
func (s *headScanner) checkField(line string) error {
	name, _, _ := strings.Cut(line, ":")
	if !httpguts.ValidHeaderFieldName(name) || len(name) == len(line) {
		return errors.Errorf("field %q", line)
	}
	s.hasLength = s.hasLength || strings.EqualFold(name, "Content-Length")
	s.hasCoding = s.hasCoding || strings.EqualFold(name, "Transfer-Encoding")
	return nil
}

// endHead checks the framing of a complete head (RFC 9112, 6.1 and 6.3).
func (s *headScanner) endHead() error {
	switch {
	case s.hasCoding && s.hasLength:
		return errors.New("length and transfer coding")
	case s.hasCoding && s.isHTTP10:
		return errors.New("transfer coding in HTTP/1.0")
	case s.status >= "200":
		s.isFinished = true
		return nil
	}
	if s.interim++; s.interim > maxInterimResponses {
		return errors.Errorf("more than %d interim responses", maxInterimResponses)
	}
	*s = headScanner{interim: s.interim}
	return nil
}
