package gossip

import (
	"time"

	"corianderwood.example/corianderwood/pkg/config"
	"corianderwood.example/corianderwood/pkg/member"
	"corianderwood.example/corianderwood/pkg/reason"
)

// Message is one message between nodes. Every message carries the sender and the
// highest revision that it holds completely; the parts that are present state what
// is asked or answered.
type Message struct {
	From Sender `cbor:"1,keyasint"`
	// Updates are member records, Marks move marks; both may ride on any message.
	Updates    []member.Member `cbor:"2,keyasint,omitempty"`
	MoveStates []MoveState     `cbor:"3,keyasint,omitempty"`

	Ping        *Ping        `cbor:"4,keyasint,omitempty"`
	Ack         *Ack         `cbor:"5,keyasint,omitempty"`
	PingRequest *PingRequest `cbor:"6,keyasint,omitempty"`
	Digest      *Digest      `cbor:"7,keyasint,omitempty"`
	Buckets     []uint32     `cbor:"8,keyasint,omitempty"`
	Sync        *Sync        `cbor:"9,keyasint,omitempty"`
	Fetch       *Fetch       `cbor:"10,keyasint,omitempty"`
	Delta       *Delta       `cbor:"11,keyasint,omitempty"`
	// Bodies are section bodies; the receiver knows them by their hash.
	Bodies            [][]byte          `cbor:"12,keyasint,omitempty"`
	Held              *Held             `cbor:"13,keyasint,omitempty"`
	MinRevisionPut    *MinRevision      `cbor:"14,keyasint,omitempty"`
	MinRevisionStored *MinRevision      `cbor:"15,keyasint,omitempty"`
	MinRevisionQuery  *MinRevisionQuery `cbor:"16,keyasint,omitempty"`
	MinRevisionReply  *MinRevisionReply `cbor:"17,keyasint,omitempty"`
	Join              *Join             `cbor:"18,keyasint,omitempty"`
	FullState         *FullState        `cbor:"19,keyasint,omitempty"`
	Refusal           *Refusal          `cbor:"20,keyasint,omitempty"`
	Evidence          []byte            `cbor:"21,keyasint,omitempty"`
	Progress          *Progress         `cbor:"22,keyasint,omitempty"`
}

// Sender identifies the process that sent a message.
type Sender struct {
	Instance    string `cbor:"1,keyasint"`
	Addr        string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
	Revision    uint64 `cbor:"4,keyasint,omitempty"`
	InForce     uint64 `cbor:"5,keyasint,omitempty"`
}

// Ping asks for an Ack with the same nonce.
type Ping struct {
	Nonce uint64 `cbor:"1,keyasint"`
}

// Ack answers a Ping; Instance is the member that answered.
type Ack struct {
	Nonce    uint64 `cbor:"1,keyasint"`
	Instance string `cbor:"2,keyasint"`
}

// PingRequest asks the receiver to probe a member and to pass its answer on.
type PingRequest struct {
	Nonce    uint64 `cbor:"1,keyasint"`
	Instance string `cbor:"2,keyasint"`
	Addr     string `cbor:"3,keyasint"`
}

// Digest summarizes the sender's member table and marks. Answer is set in replies.
type Digest struct {
	Members    uint64 `cbor:"1,keyasint"`
	MoveStates uint64 `cbor:"2,keyasint,omitempty"`
	Answer     bool   `cbor:"3,keyasint,omitempty"`
}

// Sync names the parts of the table whose records are in Updates. The receiver
// answers with its later records unless Answer is set.
type Sync struct {
	Parts  []byte `cbor:"1,keyasint"`
	Answer bool   `cbor:"2,keyasint,omitempty"`
}

// Fetch asks for the difference from revision Base, or for bodies by hash.
type Fetch struct {
	Base   uint64   `cbor:"1,keyasint,omitempty"`
	Hashes []string `cbor:"2,keyasint,omitempty"`
}

// Delta turns the head of revision Base into that of Revision. With Full set it is
// the whole head. Digest is the SHA-256 of the resulting head.
type Delta struct {
	Base     uint64                       `cbor:"1,keyasint,omitempty"`
	Revision uint64                       `cbor:"2,keyasint"`
	Full     bool                         `cbor:"3,keyasint,omitempty"`
	Sections map[string]config.SectionRef `cbor:"4,keyasint,omitempty"`
	Removed  []string                     `cbor:"5,keyasint,omitempty"`
	Digest   []byte                       `cbor:"6,keyasint"`
	// Hold asks for a Held message once the revision is held completely.
	Hold bool `cbor:"7,keyasint,omitempty"`
}

// Held acknowledges that the sender holds a revision and all its bodies.
type Held struct {
	Revision uint64 `cbor:"1,keyasint"`
}

// MinRevision is the floor of an instance, sent to a keeper or acknowledged by it.
type MinRevision struct {
	Instance string `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
}

// MinRevisionQuery asks for the floor of the sender's instance.
type MinRevisionQuery struct {
	Nonce uint64 `cbor:"1,keyasint"`
}

// MinRevisionReply answers a FloorAsk. Known is false if the sender keeps no floor of the
// instance. Established is false while the sender has no floor of its own yet.
type MinRevisionReply struct {
	Nonce       uint64 `cbor:"1,keyasint"`
	Revision    uint64 `cbor:"2,keyasint,omitempty"`
	Known       bool   `cbor:"3,keyasint,omitempty"`
	Established bool   `cbor:"4,keyasint,omitempty"`
}

// Join asks for the full state.
type Join struct {
	Member member.Member `cbor:"1,keyasint"`
}

// FullState is the full state of a node. DeadFor holds the time in milliseconds since
// the death of each record in Dead. Marks, the head and its bodies are in the other
// parts of the message.
type FullState struct {
	Members []member.Member `cbor:"1,keyasint"`
	Dead    []member.Member `cbor:"2,keyasint,omitempty"`
	DeadFor []int64         `cbor:"3,keyasint,omitempty"`
}

// Refusal refuses a request. The requester may try again after Wait or ask one of
// the peers whose addresses are in Others.
type Refusal struct {
	Reason reason.Refusal `cbor:"1,keyasint"`
	Wait   time.Duration  `cbor:"2,keyasint,omitempty"`
	Others []string       `cbor:"3,keyasint,omitempty"`
}

// Progress tells which members have Revision or a later one in force: one bit per
// member of the set, in the order of the instance names.
type Progress struct {
	Revision uint64 `cbor:"1,keyasint"`
	Set      uint64 `cbor:"2,keyasint"`
	Bits     []byte `cbor:"3,keyasint"`
}

// Packet is a message and the address to which it is to be sent.
type Packet struct {
	To string
	Message
}
