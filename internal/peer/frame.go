package peer

import (
	"errors"
	"fmt"

	"github.com/toucanhatch/toucanhatch/internal/wire"
)

// decodeFrame returns the messages of a frame. It skips messages of kinds that this version does not know. If it
// returns an error, the caller must close the link, since later frames cannot be trusted either.
func decodeFrame(data []byte) ([]wire.Message, error) {
	parts, err := wire.Unmarshal[[][]byte](data)
	if err != nil {
		return nil, fmt.Errorf("decode frame: %w", err)
	}
	var out []wire.Message
	for _, p := range parts {
		m, err := wire.Decode(p)
		var unknown *wire.UnknownKindError
		if errors.As(err, &unknown) {
			continue
		}
		if err != nil {
			return nil, err
		}
		out = append(out, m)
	}
	return out, nil
}
