package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"endiveplank/coordination/node"
	"endiveplank/protocol/upstreamapi"
)

// moveTimeout bounds one move. A move is given up rather than waited for: the
// chat then starts cold, as it would have.
const moveTimeout = 10 * time.Second

// Move carries a cached prefix from one engine to another. The blob is passed
// on as it comes and never held whole.
func (c *Client) Move(move node.MoveCache) {
	c.done.Add(1)
	go func() {
		defer c.done.Done()
		ctx, cancel := context.WithTimeout(context.Background(), moveTimeout)
		defer cancel()
		moved := c.carry(ctx, move)
		c.sink.Input(node.CacheMoved{Upstream: move.Upstream, Hash: move.Hash, Moved: moved})
	}()
}

func (c *Client) carry(ctx context.Context, move node.MoveCache) bool {
	body, err := json.Marshal(upstreamapi.KVExport{Hash: fmt.Sprintf("%016x", uint64(move.Hash))})
	if err != nil {
		return false
	}
	export, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+move.From+upstreamapi.ExportPath, bytes.NewReader(body))
	if err != nil {
		return false
	}
	exported, err := c.transport.RoundTrip(export)
	if err != nil {
		return false
	}
	defer exported.Body.Close()
	if exported.StatusCode != http.StatusOK {
		return false
	}
	return c.importInto(ctx, move.To, exported)
}

// importInto posts an exported blob to an engine.
func (c *Client) importInto(ctx context.Context, address string, exported *http.Response) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+upstreamapi.ImportPath, exported.Body)
	if err != nil {
		return false
	}
	request.ContentLength = exported.ContentLength
	imported, err := c.transport.RoundTrip(request)
	if err != nil {
		return false
	}
	_ = imported.Body.Close()
	return imported.StatusCode == http.StatusOK
}
