// Package forward lets every controller take workers' reports for the leader. A controller
// that isn't the leader keeps the workers' connections, forwards their reports in batches
// and returns the leader's answers. It also forwards the leader's direct orders.
//
// It makes no decisions: it never answers a report itself except to refuse it, forwards no
// report and no order twice, and changes no content. The protocol treats it as part of the
// network between the leader and a worker, which may lose or delay messages anyway
// (docs/scale.md).
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

// Version is the version of the messages. A node's status says which one it reads.
const Version = 1

// ContentType is the content type of all messages.
const ContentType = "application/cbor"

const (
	// maxBatchBytes limits the bodies in a message to less than the limit of a request.
	maxBatchBytes = 48 << 10
	// MaxReportBytes is the size of the largest report that is forwarded.
	MaxReportBytes = 32 << 10
	// maxBatchesInFlight is how many messages to the leader are under way at a time.
	maxBatchesInFlight = 4
)

// Report is a worker's report, unchanged.
type Report struct {
	ID   uint64 `cbor:"1,keyasint"`
	Body []byte `cbor:"2,keyasint"`
}

// Outcome says whether the worker received an order and answered it.
type Outcome uint8

// The outcomes of an order.
const (
	Answered Outcome = iota + 1
	NotSent          // the worker has not received it
	NoAnswer         // it may have been executed, or may still be
)

// Result is the outcome of an order, with the worker's answer if there is one.
type Result struct {
	ID      uint64  `cbor:"1,keyasint"`
	Outcome Outcome `cbor:"2,keyasint"`
	Status  int     `cbor:"3,keyasint,omitempty"`
	Body    []byte  `cbor:"4,keyasint,omitempty"`
}

// Batch is a message to the leader with the reports and results that a controller forwards.
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

// Answers are the answers to the reports of a batch.
type Answers struct {
	V int `cbor:"1,keyasint"`
	// Leading is false if the node doesn't lead and has processed none of the batch.
	Leading bool     `cbor:"2,keyasint"`
	Answers []Answer `cbor:"3,keyasint,omitempty"`
}

// Order is a leader's request to a worker.
type Order struct {
	ID   uint64 `cbor:"1,keyasint"`
	Addr string `cbor:"2,keyasint"`
	Path string `cbor:"3,keyasint"`
	Body []byte `cbor:"4,keyasint"`
}

// Orders is a message with the orders that a controller is to send for the leader.
type Orders struct {
	V      int     `cbor:"1,keyasint"`
	Orders []Order `cbor:"2,keyasint"`
}

func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic("forward: " + err.Error()) // a type of this package can't be encoded
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
		return nil, fmt.Errorf("forward: invalid message version %d", v)
	}
	return &m, nil
}
