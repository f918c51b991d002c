package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
)

// responseReader reads the responses that an upstream sends over one connection.
type responseReader struct {
	*bufio.Reader
	reused  bool // the connection has already carried a response
	limited *limitedReader
}

// limitedReader reads at most remaining bytes and then fails with errHeadTooLarge.
type limitedReader struct {
	io.Reader
	remaining int // negative: no limit
}

func (r *limitedReader) Read(buf []byte) (int, error) {
	if r.remaining < 0 {
		return r.Reader.Read(buf)
	}
	if r.remaining == 0 {
		return 0, errHeadTooLarge
	}
	n, err := r.Reader.Read(buf[:min(len(buf), r.remaining)])
	r.remaining -= n
	return n, err
}

func newResponseReader(conn io.Reader) *responseReader {
	limited := &limitedReader{conn, -1}
	return &responseReader{Reader: bufio.NewReaderSize(limited, 4<<10), limited: limited}
}

// Errors for input that is no valid response to the request.
var (
	errHeadTooLarge   = errors.New("answer whose head is too large")
	errInvalidStatus  = errors.New("answer without a status")
	errNoAttemptID    = errors.New("answer that names no request")
	errWrongAttemptID = errors.New("answer of another request")
	errNoBodyLength   = errors.New("answer without an end")
	errProtocolSwitch = errors.New("unasked switch of protocol")
)

// readHeadFor reads the head of the response to the request with the given method and Attempt-Id, and
// checks that it belongs to that request. 1xx responses are skipped; the body is not read.
func (r *responseReader) readHeadFor(method, attemptID string) (*http.Response, error) {
	response, err := r.readHead(method)
	if err != nil {
		return nil, err
	}
	// A response with a status of 300 or above may lack the Attempt-Id. On a reused connection it may
	// then be left over from an earlier request, so it is not accepted there.
	switch id := response.Header.Get(headerAttemptID); {
	case id == attemptID:
	case id != "" || response.StatusCode < 300:
		return nil, errWrongAttemptID
	case r.reused:
		return nil, errNoAttemptID
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 && method != http.MethodHead && response.StatusCode != http.StatusNoContent && response.StatusCode != http.StatusNotModified {
		return nil, errNoBodyLength
	}
	return response, nil
}

// readHead reads the head of a response of at most maxResponseHead bytes, skipping 1xx responses.
func (r *responseReader) readHead(method string) (*http.Response, error) {
	r.limited.remaining = maxResponseHead
	defer func() { r.limited.remaining = -1 }()
	req := &http.Request{Method: method}
	for {
		response, err := http.ReadResponse(r.Reader, req)
		switch {
		case err != nil:
			return nil, err
		case response.StatusCode < 100:
			return nil, errInvalidStatus
		case response.StatusCode == http.StatusSwitchingProtocols:
			return nil, errProtocolSwitch
		case response.StatusCode >= 200:
			return response, nil
		}
	}
}

// readBodyStart reads up to maxHeldResponse bytes of a response's body. complete is true if that is the
// whole body. An error means that the response is truncated.
func readBodyStart(response *http.Response) (start []byte, complete bool, err error) {
	limit := int64(maxHeldResponse)
	if response.ContentLength >= 0 && response.ContentLength < limit {
		limit = response.ContentLength + 1
	}
	buf := bytes.NewBuffer(make([]byte, 0, min(limit, 8<<10)))
	_, err = io.CopyN(buf, response.Body, limit)
	if err == io.EOF {
		return buf.Bytes(), true, nil
	}
	return buf.Bytes(), false, err
}
