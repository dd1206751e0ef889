package load

import (
	"bytes"
	"errors"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"github.com/cicadadale/cicadadale/config"
)

// decodeWorkload decodes strictly. A value of the wrong type stops the decoding, unknown keys do not.
func decodeWorkload(file string, text []byte, w *Workload) config.Findings {
	dec := toml.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	err := dec.Decode(w)
	if err == nil {
		return nil
	}
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var out config.Findings
		for _, e := range strict.Errors {
			line, _ := e.Position()
			out = append(out, config.Finding{File: file, Line: line, Key: strings.Join(e.Key(), "."), Reason: "unknown key"})
		}
		return out
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ := decode.Position()
		return config.Findings{{File: file, Line: line, Key: strings.Join(decode.Key(), "."), Reason: decode.Error()}}
	}
	return config.Findings{{File: file, Reason: err.Error()}}
}

// keyLines returns the line of each key, for findings about decoded values.
func keyLines(text []byte) map[string]int {
	lines := make(map[string]int)
	var p unstable.Parser
	p.Reset(text)
	var table []string
	for p.NextExpression() {
		e := p.Expression()
		key, offset := expressionKey(e)
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = key
		case unstable.KeyValue:
			full := strings.Join(append(append([]string{}, table...), key...), ".")
			lines[full] = 1 + bytes.Count(text[:offset], []byte("\n"))
		}
	}
	return lines
}

func expressionKey(e *unstable.Node) ([]string, int) {
	var parts []string
	offset := 0
	it := e.Key()
	for it.Next() {
		if len(parts) == 0 {
			offset = int(it.Node().Raw.Offset)
		}
		parts = append(parts, string(it.Node().Data))
	}
	return parts, offset
}
