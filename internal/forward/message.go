// Package forward lets every controller take workers' reports for the leader. A controller
// that isn't the leader keeps the workers' connections, passes their reports on in batches
// and gives back the leader's answers; the leader's direct orders go by way of it.
//
// It decides nothing: it never answers a report by itself, passes on no report and no order
// twice, and changes no content. For the rules it is part of the network between the leader
// and a worker, which may lose, delay and hold messages anyway (docs/scale.md).
package forward

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Paths between controllers.
const (
	ReportsPath = "/peer/reports" // to the leader
	OrdersPath  = "/peer/orders"  // from the leader
)

// Version of the messages. A node's status says which one it takes.
const Version = 1

// ContentType of all messages.
const ContentType = "application/cbor"

const (
	// mostBatch is how many bytes of bodies a message holds, below the limit of a request.
	mostBatch = 48 << 10
	// MostReport is the largest report that is passed on.
	MostReport = 32 << 10
	// mostFlying is how many messages to one controller are under way at a time.
	mostFlying = 4
)

// Report is a worker's report as it came.
type Report struct {
	ID   uint64 `cbor:"1,keyasint"`
	Body []byte `cbor:"2,keyasint"`
}

// Outcome says what came of an order.
type Outcome uint8

// The outcomes of an order.
const (
	Answered Outcome = iota + 1
	NotSent          // the worker has seen nothing
	NoAnswer         // it may have been executed, or may be yet
)

// Result is what came of an order.
type Result struct {
	ID      uint64  `cbor:"1,keyasint"`
	Outcome Outcome `cbor:"2,keyasint"`
	Status  int     `cbor:"3,keyasint,omitempty"`
	Body    []byte  `cbor:"4,keyasint,omitempty"`
}

// Batch is what a controller passes on to the leader.
type Batch struct {
	V       int      `cbor:"1,keyasint"`
	From    string   `cbor:"2,keyasint"`
	Reports []Report `cbor:"3,keyasint,omitempty"`
	Results []Result `cbor:"4,keyasint,omitempty"`
}

// Answer is the leader's answer to a report.
type Answer struct {
	ID         uint64 `cbor:"1,keyasint"`
	Status     int    `cbor:"2,keyasint"`
	RetryAfter int    `cbor:"3,keyasint,omitempty"`
	Body       []byte `cbor:"4,keyasint,omitempty"`
}

// Answers are those to a batch's reports.
type Answers struct {
	V int `cbor:"1,keyasint"`
	// Leading is false if the node doesn't lead and has looked at nothing.
	Leading bool     `cbor:"2,keyasint"`
	Answers []Answer `cbor:"3,keyasint,omitempty"`
}

// Order is a request to a worker.
type Order struct {
	ID   uint64 `cbor:"1,keyasint"`
	Addr string `cbor:"2,keyasint"`
	Path string `cbor:"3,keyasint"`
	Body []byte `cbor:"4,keyasint"`
}

// Orders are what the leader has a controller send.
type Orders struct {
	V      int     `cbor:"1,keyasint"`
	Orders []Order `cbor:"2,keyasint"`
}

func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic("forward: " + err.Error()) // a type of ours that CBOR cannot hold
	}
	return b
}

// decode reads a message and checks its version.
func decode[T any](b []byte, version func(*T) int) (*T, error) {
	var m T
	if err := cbor.Unmarshal(b, &m); err != nil {
		return nil, fmt.Errorf("forward: %w", err)
	}
	if v := version(&m); v < 1 {
		return nil, fmt.Errorf("forward: version %d makes no sense", v)
	}
	return &m, nil
}
