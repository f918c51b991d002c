package controlplane

import (
	"log/slog"
	"sync"
	"time"

	"madderwing/internal/transport"
)

// cutLinks are the ways between control nodes that are cut, from and to by address.
var cutLinks sync.Map

// CutLink cuts the way from one control node to another, and Join opens all again. What is sent
// is dropped where it arrives.
func CutLink(from, to string) { cutLinks.Store([2]string{from, to}, true) }

// droppedKinds are the kinds of message that control nodes don't send any more, by address.
var droppedKinds sync.Map

// DropMessages drops all messages of a kind from a control node where they arrive. What that control node is asked
// and answers goes on.
func DropMessages(from, kind string) { droppedKinds.Store([2]string{from, kind}, true) }

// RestoreLinks ends what Cut and Mute have done.
func RestoreLinks() {
	cutLinks.Clear()
	droppedKinds.Clear()
}

type linkCutError struct{}

func (linkCutError) Error() string { return "cut" }

func init() {
	newEndpoint = func(address string, patience time.Duration, logger *slog.Logger) (*transport.Endpoint, error) {
		m, err := transport.New(address, patience, logger)
		if err != nil {
			return nil, err
		}
		m.Intercept = func(kind string, next transport.Handler) transport.Handler {
			return func(from string, body []byte) (any, error) {
				if _, mute := droppedKinds.Load([2]string{from, kind}); mute {
					return nil, linkCutError{}
				}
				if _, cut := cutLinks.Load([2]string{from, address}); cut {
					return nil, linkCutError{}
				}
				out, err := next(from, body)
				if _, cut := cutLinks.Load([2]string{address, from}); cut {
					return nil, linkCutError{} // the answer does not arrive
				}
				return out, err
			}
		}
		return m, nil
	}
}
