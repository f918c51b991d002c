package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
)

// answers reads the answers that an upstream sends over one connection.
type answers struct {
	*bufio.Reader
	used bool // it has brought an answer
	conn *bounded
}

// bounded reads no more than it may.
type bounded struct {
	io.Reader
	left int // bytes that may be read; negative: any number
}

func (b *bounded) Read(p []byte) (int, error) {
	if b.left < 0 {
		return b.Reader.Read(p)
	}
	if b.left == 0 {
		return 0, errHead
	}
	n, err := b.Reader.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}

// newAnswers makes the reader of a connection.
func newAnswers(conn io.Reader) *answers {
	b := &bounded{conn, -1}
	return &answers{Reader: bufio.NewReaderSize(b, 4<<10), conn: b}
}

// Why bytes are not the answer to the request that was sent.
var (
	errHead      = errors.New("answer whose head is too large")
	errStatus    = errors.New("answer without a status")
	errNameless  = errors.New("answer that names no request")
	errForeign   = errors.New("answer of another request")
	errEndless   = errors.New("answer without an end")
	errSwitching = errors.New("unasked switch of protocol")
)

// next reads the head of the answer to the request of the given method and Attempt-Id;
// interim answers are passed over. The body is left to be read.
func (a *answers) next(method, attempt string) (*http.Response, error) {
	r, err := a.head(method)
	if err != nil {
		return nil, err
	}
	// A refusal need not name its request, but then it may be one too many, left over
	// from an answer before.
	switch id := r.Header.Get(hAttempt); {
	case id == attempt:
	case id != "" || r.StatusCode < 300:
		return nil, errForeign
	case a.used:
		return nil, errNameless
	}
	if r.ContentLength < 0 && len(r.TransferEncoding) == 0 && method != http.MethodHead && r.StatusCode != http.StatusNoContent && r.StatusCode != http.StatusNotModified {
		return nil, errEndless
	}
	return r, nil
}

// head reads the head of an answer and passes over interim ones.
func (a *answers) head(method string) (*http.Response, error) {
	a.conn.left = answerHead
	defer func() { a.conn.left = -1 }()
	req := &http.Request{Method: method}
	for {
		r, err := http.ReadResponse(a.Reader, req)
		switch {
		case err != nil:
			return nil, err
		case r.StatusCode < 100:
			return nil, errStatus
		case r.StatusCode == http.StatusSwitchingProtocols:
			return nil, errSwitching
		case r.StatusCode >= 200:
			return r, nil
		}
	}
}

// begin reads what is held of an answer's body before any of it is passed on. whole says
// that this is all; an error, that the answer is cut short.
func begin(r *http.Response) (start []byte, whole bool, err error) {
	held := int64(answerHeld)
	if r.ContentLength >= 0 && r.ContentLength < held {
		held = r.ContentLength + 1
	}
	buf := bytes.NewBuffer(make([]byte, 0, min(held, 8<<10)))
	_, err = io.CopyN(buf, r.Body, held)
	if err == io.EOF {
		return buf.Bytes(), true, nil
	}
	return buf.Bytes(), false, err
}
