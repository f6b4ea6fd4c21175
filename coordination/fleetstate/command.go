package fleetstate

import (
	"github.com/rotisserie/eris"

	"endiveplank/coordination/engineorders"
	"endiveplank/coordination/orders"
	"endiveplank/coordination/ownership"
	"endiveplank/coordination/registry"
	"endiveplank/coordination/table"
	"endiveplank/protocol/codec"
)

// MaxCommand is the maximum size of an encoded command in bytes. A change of
// 2,400 customer rows fits.
const MaxCommand = 4 << 20

// Command is one entry of the replicated log. Exactly one field is set.
type Command struct {
	Change *table.Change   `msgpack:"c,omitempty"`
	Order  *orders.Command `msgpack:"o,omitempty"`
	// Configure replaces the settings of the journal of orders.
	Configure *orders.Settings   `msgpack:"g,omitempty"`
	Open      *ownership.Open    `msgpack:"p,omitempty"`
	Stop      *ownership.Stop    `msgpack:"s,omitempty"`
	Close     *ownership.Close   `msgpack:"x,omitempty"`
	Assign    *ownership.Assign  `msgpack:"a,omitempty"`
	Move      *ownership.Move    `msgpack:"m,omitempty"`
	Release   *ownership.Release `msgpack:"r,omitempty"`
	Forget    *ownership.Forget  `msgpack:"f,omitempty"`
	// Register and Remove change the registered upstreams.
	Register *registry.Register `msgpack:"n,omitempty"`
	Remove   *registry.Remove   `msgpack:"d,omitempty"`
	// Engine is a command about orders to engines.
	Engine *engineorders.Command `msgpack:"e,omitempty"`
}

// Outcome says whether a command could be run at all. Its effect is in the
// answer of the part that ran it.
type Outcome string

const (
	// Ran means that the command was run and its part's answer is set.
	Ran Outcome = "ran"
	// Malformed means that the command could not be decoded or does not hold
	// exactly one request. It changed nothing.
	Malformed Outcome = "malformed"
)

// Result is the result of a command. At most one answer is set.
type Result struct {
	Outcome Outcome `msgpack:"o"`
	// Index is the log index of the command.
	Index     uint64            `msgpack:"i"`
	Change    *table.Answer     `msgpack:"c,omitempty"`
	Order     *orders.Result    `msgpack:"r,omitempty"`
	Ownership *ownership.Answer `msgpack:"w,omitempty"`
	Registry  *registry.Answer  `msgpack:"g,omitempty"`
	// Engine answers a command about orders to engines.
	Engine *engineorders.Answer `msgpack:"e,omitempty"`
}

// Encode returns the bytes to propose to consensus.
func (c Command) Encode() []byte {
	return codec.Marshal(&c)
}

// DecodeCommand decodes a command. On an error, Apply would return Malformed.
func DecodeCommand(encoded []byte) (Command, error) {
	var command Command
	if len(encoded) > MaxCommand {
		return command, eris.Errorf("fleetstate: command of %d bytes exceeds the limit of %d bytes", len(encoded), MaxCommand)
	}
	if err := codec.Unmarshal(encoded, &command); err != nil {
		return Command{}, eris.Wrap(err, "fleetstate: decode command")
	}
	if command.countRequests() != 1 {
		return Command{}, eris.Errorf("fleetstate: command holds %d requests, must hold exactly one", command.countRequests())
	}
	return command, nil
}

func (c Command) countRequests() int {
	count := 0
	for _, set := range []bool{
		c.Change != nil, c.Order != nil, c.Configure != nil, c.Open != nil, c.Stop != nil, c.Close != nil,
		c.Assign != nil, c.Move != nil, c.Release != nil, c.Forget != nil,
		c.Register != nil, c.Remove != nil, c.Engine != nil,
	} {
		if set {
			count++
		}
	}
	return count
}

// DecodeResult decodes the result that Apply returned.
func DecodeResult(encoded []byte) (Result, error) {
	var result Result
	if err := codec.Unmarshal(encoded, &result); err != nil {
		return Result{}, eris.Wrap(err, "fleetstate: decode result")
	}
	return result, nil
}

func (r Result) encode() []byte {
	return codec.Marshal(&r)
}
