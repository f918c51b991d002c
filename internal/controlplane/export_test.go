package controlplane

import (
	"log/slog"
	"sync"
	"time"

	"madderwing/internal/transport"
)

// cuts are the ways between control nodes that are cut, from and to by address.
var cuts sync.Map

// Cut cuts the way from one control node to another, and Join opens all again. What is sent
// is dropped where it arrives.
func Cut(from, to string) { cuts.Store([2]string{from, to}, true) }

// mutes are the kinds of message that control nodes don't send any more, by address.
var mutes sync.Map

// Mute drops all messages of a kind from a control node where they arrive. What that control node is asked
// and answers goes on.
func Mute(from, kind string) { mutes.Store([2]string{from, kind}, true) }

// Join ends what Cut and Mute have done.
func Join() {
	cuts.Clear()
	mutes.Clear()
}

type lost struct{}

func (lost) Error() string { return "cut" }

func init() {
	newEndpoint = func(address string, patience time.Duration, logger *slog.Logger) (*transport.Endpoint, error) {
		m, err := transport.New(address, patience, logger)
		if err != nil {
			return nil, err
		}
		m.Intercept = func(kind string, next transport.Handler) transport.Handler {
			return func(from string, body []byte) (any, error) {
				if _, mute := mutes.Load([2]string{from, kind}); mute {
					return nil, lost{}
				}
				if _, cut := cuts.Load([2]string{from, address}); cut {
					return nil, lost{}
				}
				out, err := next(from, body)
				if _, cut := cuts.Load([2]string{address, from}); cut {
					return nil, lost{} // the answer does not arrive
				}
				return out, err
			}
		}
		return m, nil
	}
}
