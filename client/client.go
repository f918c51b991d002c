package client

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"sync/atomic"
	"time"

	mathrand "math/rand/v2"
)

const (
	defaultAcquireInterval = 250 * time.Millisecond
	defaultWatchWait       = 2 * time.Second
	idleConnectionTimeout  = 30 * time.Second
	idleConnectionsPerNode = 16
	ownerRandomBytes       = 6
	maxOwnerNameBytes      = 24
)

// Options configures a Client. The zero value selects the defaults.
type Options struct {
	// Name is the prefix of the owner names that the client generates. Default: the host name.
	Name string
	// Transport sends the requests. Default: a transport of the client's own, without a proxy.
	Transport http.RoundTripper
	// AcquireInterval is how often Acquire retries while another owner holds the lock.
	// Default: 250 ms.
	AcquireInterval time.Duration
	// WatchWait is how long a node may hold a watch request open while there are no events
	// (long polling). A node that stops responding delays events by up to this time plus a
	// second. Default: 2 s.
	WatchWait time.Duration
}

// Client sends requests to the control nodes. It is safe for concurrent use.
type Client struct {
	endpoints       []*url.URL
	preferred       atomic.Int64 // index of the endpoint that is tried first
	http            *http.Client
	acquireInterval time.Duration
	watchWait       time.Duration
	ownerPrefix     string
	ownerCount      atomic.Uint64 // generated owner names
}

// New returns a client for the nodes with the given control addresses, as host:port or as URLs.
func New(endpoints []string, options Options) (*Client, error) {
	c := &Client{
		acquireInterval: options.AcquireInterval,
		watchWait:       options.WatchWait,
		ownerPrefix:     ownerPrefix(options.Name),
	}
	if c.acquireInterval <= 0 {
		c.acquireInterval = defaultAcquireInterval
	}
	if c.watchWait <= 0 {
		c.watchWait = defaultWatchWait
	}
	for _, text := range endpoints {
		endpoint, err := parseEndpoint(text)
		if err != nil {
			return nil, err
		}
		c.endpoints = append(c.endpoints, endpoint)
	}
	if len(c.endpoints) == 0 {
		return nil, errors.New("no endpoints given")
	}
	c.preferred.Store(mathrand.Int64N(int64(len(c.endpoints))))
	transport := options.Transport
	if transport == nil {
		transport = newTransport()
	}
	c.http = &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return c, nil
}

func parseEndpoint(text string) (*url.URL, error) {
	if !strings.Contains(text, "://") {
		text = "http://" + text
	}
	endpoint, err := url.Parse(text)
	if err != nil {
		return nil, fmt.Errorf("endpoint: %w", err)
	}
	if endpoint.Host == "" || strings.Trim(endpoint.Path, "/") != "" || endpoint.RawQuery != "" {
		return nil, fmt.Errorf("endpoint %q: must be host:port or a URL without a path", text)
	}
	endpoint.Path = ""
	return endpoint, nil
}

func newTransport() http.RoundTripper {
	dialer := &net.Dialer{Timeout: responseTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConnectionsPerNode,
		IdleConnTimeout:     idleConnectionTimeout,
		TLSHandshakeTimeout: responseTimeout,
	}
}

// ownerPrefix returns a prefix for owner names that is unique for each client, even within one
// process.
func ownerPrefix(name string) string {
	if name == "" {
		name, _ = os.Hostname()
	}
	name = strings.Map(ownerCharacter, name)
	name = name[:min(len(name), maxOwnerNameBytes)]
	random := make([]byte, ownerRandomBytes)
	_, _ = rand.Read(random) // never fails
	return fmt.Sprintf("%s-%d-%s", name, os.Getpid(), hex.EncodeToString(random))
}

// ownerCharacter replaces everything but ASCII letters, digits and dashes by a dash.
func ownerCharacter(r rune) rune {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', r == '-':
		return r
	}
	return '-'
}

// newOwner generates an owner name that was never used before.
func (c *Client) newOwner() string {
	return fmt.Sprintf("%s.%d", c.ownerPrefix, c.ownerCount.Add(1))
}
