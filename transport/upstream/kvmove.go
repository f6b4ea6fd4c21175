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

// moveTimeout bounds one move. After it the move is given up, and the chat starts
// without a cached prefix, as it would have without the move.
const moveTimeout = 10 * time.Second

// Move copies a cached prefix from one engine to another. It streams the blob and
// never holds it completely in memory.
func (c *Client) Move(move node.MoveCache) {
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		ctx, cancel := context.WithTimeout(context.Background(), moveTimeout)
		defer cancel()
		moved := c.copyCache(ctx, move)
		c.sink.Input(node.CacheMoved{Upstream: move.Upstream, Hash: move.Hash, Moved: moved})
	}()
}

// copyCache exports a prefix from one engine and imports it into another. It reports
// whether that succeeded.
func (c *Client) copyCache(ctx context.Context, move node.MoveCache) bool {
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
