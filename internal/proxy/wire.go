package proxy

// This file holds the form in which a request goes to an upstream.

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"time"
)

// The headers that are madderwing's concern.
const (
	hAttempt  = "Attempt-Id"
	hDeadline = "Deadline-Left"
	hTarget   = "Target-Instance"
	hSeal     = "Server-Seal"
	hNotRun   = "Not-Executed"
	hInstance = "Instance-Id"
	hWarmup   = "Warmup-Left"
	hTenant   = "Tenant"
	hLoad     = "Instance-Load"
)

// hopByHop are the headers that concern one connection only.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// connectionNamed lists the headers that Connection names.
func connectionNamed(h http.Header) map[string]bool {
	var out map[string]bool
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			name = http.CanonicalHeaderKey(strings.TrimSpace(name))
			if name != "" && name != "Close" && name != "Keep-Alive" {
				if out == nil {
					out = map[string]bool{}
				}
				out[name] = true
			}
		}
	}
	return out
}

// target is the request's path and query as the client sent them.
func (x *Exchange) target() string {
	if strings.HasPrefix(x.r.RequestURI, "/") {
		return x.r.RequestURI
	}
	return x.r.URL.RequestURI()
}

func (x *Exchange) writeHead(b *bytes.Buffer, id string, left time.Duration) {
	r := x.r
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(x.target())
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	named := connectionNamed(r.Header)
	for name, values := range r.Header {
		if hopByHop[name] || named[name] || name == hDeadline || name == hTarget || name == "Content-Length" || name == "Expect" {
			continue
		}
		if x.table.Tenants && (name == hTenant || name == "Authorization") {
			continue // the key is ours to know, and the tenant ours to name
		}
		for _, v := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
	b.WriteString(hDeadline)
	b.WriteString(": ")
	b.WriteString(strconv.FormatInt(max(1, left.Milliseconds()), 10))
	b.WriteString("\r\n" + hTarget + ": ")
	b.WriteString(id)
	if x.tenant != nil {
		b.WriteString("\r\n" + hTenant + ": ")
		b.WriteString(x.tenant.Name)
	}
	switch {
	case x.chunked:
		b.WriteString("\r\nTransfer-Encoding: chunked")
	case x.hasBody || r.Header.Get("Content-Length") != "":
		b.WriteString("\r\nContent-Length: ")
		b.WriteString(strconv.FormatInt(r.ContentLength, 10))
	}
	b.WriteString("\r\n\r\n")
}

func (x *Exchange) writeBufferedBody(w io.Writer) {
	if !x.chunked {
		_, _ = w.Write(x.bufferedBody)
		return
	}
	c := httputil.NewChunkedWriter(w)
	if len(x.bufferedBody) > 0 {
		_, _ = c.Write(x.bufferedBody)
	}
	_ = c.Close()
	_, _ = io.WriteString(w, "\r\n")
}

// stream sends the head and a body that is too large to be sent with it.
func (x *Exchange) stream(conn net.Conn, head []byte) error {
	w := bufio.NewWriterSize(conn, 16<<10)
	_, _ = w.Write(head)
	if x.bufferedBody != nil {
		x.writeBufferedBody(w)
		return w.Flush()
	}
	body := io.MultiReader(bytes.NewReader(x.bodyPrefix), x.body)
	if x.chunked {
		c := httputil.NewChunkedWriter(w)
		if _, err := io.Copy(c, body); err != nil {
			return err
		}
		_ = c.Close()
		_, _ = io.WriteString(w, "\r\n")
		return w.Flush()
	}
	if _, err := io.CopyN(w, body, x.r.ContentLength); err != nil {
		return err
	}
	return w.Flush()
}
