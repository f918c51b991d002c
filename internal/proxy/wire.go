package proxy

// This file encodes a request for the connection to an upstream.

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

// The headers that madderwing defines.
const (
	headerAttemptID      = "Attempt-Id"      // set by the client; an upstream repeats it in its response
	headerDeadlineLeft   = "Deadline-Left"   // milliseconds until the deadline of the request
	headerTargetInstance = "Target-Instance" // the instance that the request is meant for; another one responds with status 421
	headerServerSeal     = "Server-Seal"     // marks a successful response as the upstream's own
	headerNotExecuted    = "Not-Executed"    // marks a response whose request was not executed
	headerInstanceID     = "Instance-Id"     // the instance that responds to a probe
	headerWarmupLeft     = "Warmup-Left"     // milliseconds until the instance is warmed up
	headerTenant         = "Tenant"          // the tenant of the request, set by the gateway
	headerInstanceLoad   = "Instance-Load"   // the load of the instance; see parseLoad
)

// hopByHop holds the hop-by-hop headers, which apply to one connection and are not forwarded.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// connectionHeaders returns the headers listed in Connection, which are hop-by-hop too.
func connectionHeaders(header http.Header) map[string]bool {
	var headers map[string]bool
	for _, line := range header["Connection"] {
		for _, name := range strings.Split(line, ",") {
			name = http.CanonicalHeaderKey(strings.TrimSpace(name))
			if name != "" && name != "Close" && name != "Keep-Alive" {
				if headers == nil {
					headers = map[string]bool{}
				}
				headers[name] = true
			}
		}
	}
	return headers
}

// requestTarget returns the request's path and query exactly as the client sent them.
func (x *Exchange) requestTarget() string {
	if strings.HasPrefix(x.r.RequestURI, "/") {
		return x.r.RequestURI
	}
	return x.r.URL.RequestURI()
}

// writeHead writes the request line and the headers. instance is the upstream instance it is meant for.
func (x *Exchange) writeHead(buf *bytes.Buffer, instance string, remaining time.Duration) {
	r := x.r
	buf.WriteString(r.Method)
	buf.WriteByte(' ')
	buf.WriteString(x.requestTarget())
	buf.WriteString(" HTTP/1.1\r\nHost: ")
	buf.WriteString(r.Host)
	buf.WriteString("\r\n")
	perConnection := connectionHeaders(r.Header)
	for name, values := range r.Header {
		if hopByHop[name] || perConnection[name] || name == headerDeadlineLeft || name == headerTargetInstance || name == "Content-Length" || name == "Expect" {
			continue
		}
		if x.table.RequiresAPIKey && (name == headerTenant || name == "Authorization") {
			continue // upstreams must not see the API key, and only the gateway sets the tenant
		}
		for _, v := range values {
			buf.WriteString(name)
			buf.WriteString(": ")
			buf.WriteString(v)
			buf.WriteString("\r\n")
		}
	}
	buf.WriteString(headerDeadlineLeft)
	buf.WriteString(": ")
	buf.WriteString(strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	buf.WriteString("\r\n" + headerTargetInstance + ": ")
	buf.WriteString(instance)
	if x.tenant != nil {
		buf.WriteString("\r\n" + headerTenant + ": ")
		buf.WriteString(x.tenant.Name)
	}
	switch {
	case x.chunked:
		buf.WriteString("\r\nTransfer-Encoding: chunked")
	case x.hasBody || r.Header.Get("Content-Length") != "":
		buf.WriteString("\r\nContent-Length: ")
		buf.WriteString(strconv.FormatInt(r.ContentLength, 10))
	}
	buf.WriteString("\r\n\r\n")
}

// writeBufferedBody writes the whole buffered body, chunked if the client's request was.
func (x *Exchange) writeBufferedBody(w io.Writer) {
	if !x.chunked {
		_, _ = w.Write(x.bufferedBody)
		return
	}
	chunked := httputil.NewChunkedWriter(w)
	if len(x.bufferedBody) > 0 {
		_, _ = chunked.Write(x.bufferedBody)
	}
	_ = chunked.Close()
	_, _ = io.WriteString(w, "\r\n")
}

// streamRequest writes the head and a body that is too long for a single write with it.
func (x *Exchange) streamRequest(conn net.Conn, head []byte) error {
	w := bufio.NewWriterSize(conn, 16<<10)
	_, _ = w.Write(head)
	if x.bufferedBody != nil {
		x.writeBufferedBody(w)
		return w.Flush()
	}
	body := io.MultiReader(bytes.NewReader(x.bodyPrefix), x.body)
	if x.chunked {
		chunked := httputil.NewChunkedWriter(w)
		if _, err := io.Copy(chunked, body); err != nil {
			return err
		}
		_ = chunked.Close()
		_, _ = io.WriteString(w, "\r\n")
		return w.Flush()
	}
	if _, err := io.CopyN(w, body, x.r.ContentLength); err != nil {
		return err
	}
	return w.Flush()
}
