package gossip

import (
	"time"

	"corianderwood.example/corianderwood/pkg/config"
	"corianderwood.example/corianderwood/pkg/member"
	"corianderwood.example/corianderwood/pkg/reason"
)

// Message is one message between nodes. Every message carries its sender with the highest
// revision that it holds completely. The other fields are optional parts, each a request,
// a response or an update.
type Message struct {
	From Sender `cbor:"1,keyasint"`
	// Updates are member records, MoveStates the states of moves; both may be
	// piggybacked on any message.
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
	// Bodies are section bodies; the receiver identifies them by their hash.
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

// Sender identifies the process that sent a message. Revision is the highest that it holds
// completely, InForce the one that it has in force.
type Sender struct {
	Instance    string `cbor:"1,keyasint"`
	Addr        string `cbor:"2,keyasint"` // control address
	Incarnation uint64 `cbor:"3,keyasint"`
	Revision    uint64 `cbor:"4,keyasint,omitempty"`
	InForce     uint64 `cbor:"5,keyasint,omitempty"`
}

// Ping requests an Ack with the same nonce.
type Ping struct {
	Nonce uint64 `cbor:"1,keyasint"`
}

// Ack answers a Ping; Instance is the member that answered.
type Ack struct {
	Nonce    uint64 `cbor:"1,keyasint"`
	Instance string `cbor:"2,keyasint"`
}

// PingRequest asks the receiver to probe a member and to forward its response.
type PingRequest struct {
	Nonce    uint64 `cbor:"1,keyasint"`
	Instance string `cbor:"2,keyasint"`
	Addr     string `cbor:"3,keyasint"`
}

// Digest holds hashes of the sender's member table and move states. IsReply is set in
// replies.
type Digest struct {
	Members    uint64 `cbor:"1,keyasint"`
	MoveStates uint64 `cbor:"2,keyasint,omitempty"`
	IsReply    bool   `cbor:"3,keyasint,omitempty"`
}

// Sync lists the buckets of the member table whose records are in Updates. The receiver
// replies with its later records of these buckets unless IsReply is set.
type Sync struct {
	Buckets []byte `cbor:"1,keyasint"`
	IsReply bool   `cbor:"2,keyasint,omitempty"`
}

// Fetch requests the difference from revision Base, or bodies by hash.
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
	// WantAck requests a Held message once the receiver holds the revision completely.
	WantAck bool `cbor:"7,keyasint,omitempty"`
}

// Held acknowledges that the sender holds a revision and all its bodies.
type Held struct {
	Revision uint64 `cbor:"1,keyasint"`
}

// MinRevision is the minimum revision of an instance: sent to a replica for storage, or
// acknowledged by it.
type MinRevision struct {
	Instance string `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
}

// MinRevisionQuery requests the minimum revision of the sender's instance.
type MinRevisionQuery struct {
	Nonce uint64 `cbor:"1,keyasint"`
}

// MinRevisionReply answers a MinRevisionQuery. Revision is the higher one of the minimum
// revision that the sender stores for the instance and the revision that it holds itself.
// Known is false if it stores none. Established is false while the sender has no minimum
// revision of its own yet.
type MinRevisionReply struct {
	Nonce       uint64 `cbor:"1,keyasint"`
	Revision    uint64 `cbor:"2,keyasint,omitempty"`
	Known       bool   `cbor:"3,keyasint,omitempty"`
	Established bool   `cbor:"4,keyasint,omitempty"`
}

// Join requests the full state.
type Join struct {
	Member member.Member `cbor:"1,keyasint"`
}

// FullState holds the member records of a full-state transfer. DeadFor is the time in
// milliseconds since the death of each member in Dead. MoveStates, the head and its bodies
// are in the other parts of the message.
type FullState struct {
	Members []member.Member `cbor:"1,keyasint"`
	Dead    []member.Member `cbor:"2,keyasint,omitempty"`
	DeadFor []int64         `cbor:"3,keyasint,omitempty"`
}

// Refusal rejects a request. The requester may try again after Wait or ask one of the
// peers whose addresses are in Others.
type Refusal struct {
	Reason reason.Refusal `cbor:"1,keyasint"`
	Wait   time.Duration  `cbor:"2,keyasint,omitempty"`
	Others []string       `cbor:"3,keyasint,omitempty"`
}

// Progress states which members have Revision or a later one in force: one bit per live
// member, in the order of the instance names. Set is a hash over these members.
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
