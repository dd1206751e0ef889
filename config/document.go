package config

import (
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// settingsDecoder reads a TOML file into a struct and collects all findings. The library's decoder stops at the first
// value of a wrong type, so settingsDecoder walks the expressions of the parser itself.
type settingsDecoder struct {
	file     string
	text     []byte
	fields   map[string]reflect.Value
	tables   map[string]bool
	lines    map[string]int
	findings Findings
	// syntaxError is set if the walk ended at a syntax error. Missing keys are then not reported, because they may follow
	// the error.
	syntaxError bool
}

// decodeSettings parses text into the struct that into points to.
func decodeSettings(file string, text []byte, into any) *settingsDecoder {
	d := &settingsDecoder{
		file: file, text: text, fields: make(map[string]reflect.Value), tables: make(map[string]bool),
		lines: make(map[string]int),
	}
	d.collect("", reflect.ValueOf(into).Elem())
	d.walk()
	d.checkSyntax()
	return d
}

// collect indexes the fields of a struct by their dotted keys.
func (d *settingsDecoder) collect(prefix string, v reflect.Value) {
	for i := range v.NumField() {
		name, ok := v.Type().Field(i).Tag.Lookup("toml")
		if !ok {
			continue
		}
		path := join(prefix, name)
		if v.Field(i).Kind() == reflect.Struct {
			d.tables[path] = true
			d.collect(path, v.Field(i))
			continue
		}
		d.fields[path] = v.Field(i)
	}
}

func join(prefix, name string) string {
	if prefix == "" {
		return name
	}
	return prefix + "." + name
}

func (d *settingsDecoder) add(line int, key, format string, args ...any) {
	d.findings = append(d.findings, Finding{File: d.file, Line: line, Key: key, Reason: fmt.Sprintf(format, args...)})
}

// walk visits all expressions up to the first syntax error.
func (d *settingsDecoder) walk() {
	var p unstable.Parser
	p.Reset(d.text)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			path, line := keyOf(&p, "", e.Key())
			table = path
			d.openTable(path, line, e.Kind == unstable.ArrayTable)
		case unstable.KeyValue:
			d.keyValue(&p, table, e)
		}
	}
	d.syntaxError = p.Error() != nil
}

// keyOf returns the dotted key and the line of its first part.
func keyOf(p *unstable.Parser, prefix string, keys unstable.Iterator) (string, int) {
	path, line := prefix, 0
	for keys.Next() {
		n := keys.Node()
		if line == 0 {
			line = p.Shape(n.Raw).Start.Line
		}
		path = join(path, string(n.Data))
	}
	return path, line
}

func (d *settingsDecoder) openTable(path string, line int, array bool) {
	if d.recordLine(path, line) {
		return
	}
	switch {
	case !d.tables[path]:
		d.add(line, path, "unknown table")
	case array:
		d.add(line, path, "must be a table, not an array of tables")
	}
}

// recordLine records the line of a key. If the key is repeated, it adds a finding and returns true.
func (d *settingsDecoder) recordLine(path string, line int) bool {
	first, ok := d.lines[path]
	if ok {
		d.add(line, path, "is set twice; first set on line %d", first)
		return true
	}
	d.lines[path] = line
	return false
}

func (d *settingsDecoder) keyValue(p *unstable.Parser, table string, e *unstable.Node) {
	path, line := keyOf(p, table, e.Key())
	if d.recordLine(path, line) {
		return
	}
	value := e.Value()
	if value.Kind == unstable.InlineTable && d.tables[path] {
		for it := value.Children(); it.Next(); {
			d.keyValue(p, path, it.Node())
		}
		return
	}
	field, ok := d.fields[path]
	switch {
	case d.tables[path]:
		d.add(line, path, "must be a table, not %s", describe(value))
	case ok:
		if reason := assign(field, value); reason != "" {
			d.add(line, path, "%s", reason)
		}
	case table != "" && !d.tables[table]:
		// The unknown table is already reported.
	default:
		d.add(line, path, "unknown key")
	}
}

// checkSyntax reports the first violation of the TOML grammar, which the walk does not detect.
func (d *settingsDecoder) checkSyntax() {
	var discarded map[string]any
	err := toml.Unmarshal(d.text, &discarded)
	if err == nil {
		return
	}
	var decodeErr *toml.DecodeError
	if !errors.As(err, &decodeErr) {
		d.add(0, "", "%s", err)
		return
	}
	line, _ := decodeErr.Position()
	for _, f := range d.findings {
		if f.Line == line {
			// The walk has already reported the same fault, such as a repeated key.
			return
		}
	}
	d.add(line, strings.Join(decodeErr.Key(), "."), "%s", strings.TrimPrefix(decodeErr.Error(), "toml: "))
}

var durationType = reflect.TypeFor[time.Duration]()

// assign sets a field. It returns why the value does not fit, or an empty string.
func assign(f reflect.Value, n *unstable.Node) string {
	if f.Type() == durationType {
		return assignDuration(f, n)
	}
	switch f.Kind() {
	case reflect.String:
		if n.Kind != unstable.String {
			return "must be a string, not " + describe(n)
		}
		f.SetString(string(n.Data))
	case reflect.Bool:
		if n.Kind != unstable.Bool {
			return "must be true or false, not " + describe(n)
		}
		f.SetBool(string(n.Data) == "true")
	case reflect.Int, reflect.Uint16:
		return assignInteger(f, n)
	case reflect.Float64:
		return assignFloat(f, n)
	case reflect.Slice:
		return assignStrings(f, n)
	default:
		return "has an unsupported type"
	}
	return ""
}

func assignDuration(f reflect.Value, n *unstable.Node) string {
	const want = `must be a duration such as "60s", `
	if n.Kind != unstable.String {
		return want + "not " + describe(n)
	}
	v, err := time.ParseDuration(string(n.Data))
	if err != nil {
		return want + fmt.Sprintf("not %q", n.Data)
	}
	f.SetInt(int64(v))
	return ""
}

func assignFloat(f reflect.Value, n *unstable.Node) string {
	if n.Kind != unstable.Float && n.Kind != unstable.Integer {
		return "must be a number, not " + describe(n)
	}
	v, err := strconv.ParseFloat(string(n.Data), 64)
	if err != nil {
		return "is out of range"
	}
	f.SetFloat(v)
	return ""
}

func assignInteger(f reflect.Value, n *unstable.Node) string {
	if n.Kind != unstable.Integer {
		return "must be an integer, not " + describe(n)
	}
	v, err := strconv.ParseInt(strings.ReplaceAll(string(n.Data), "_", ""), 0, 64)
	if err != nil {
		return fmt.Sprintf("%s is out of range", n.Data)
	}
	if f.Kind() == reflect.Uint16 {
		if v < 0 || f.OverflowUint(uint64(v)) {
			return fmt.Sprintf("%d is out of range 0 to 65535", v)
		}
		f.SetUint(uint64(v))
		return ""
	}
	f.SetInt(v)
	return ""
}

func assignStrings(f reflect.Value, n *unstable.Node) string {
	const want = "must be a list of strings, not "
	if n.Kind != unstable.Array {
		return want + describe(n)
	}
	out := []string{}
	for it := n.Children(); it.Next(); {
		if it.Node().Kind == unstable.Comment {
			continue
		}
		if it.Node().Kind != unstable.String {
			return want + "a list with " + describe(it.Node())
		}
		out = append(out, string(it.Node().Data))
	}
	f.Set(reflect.ValueOf(out))
	return ""
}

// describe names the type of a value in findings.
func describe(n *unstable.Node) string {
	switch n.Kind {
	case unstable.String:
		return "a string"
	case unstable.Bool:
		return "a boolean"
	case unstable.Integer:
		return "an integer"
	case unstable.Float:
		return "a floating-point number"
	case unstable.Array:
		return "a list"
	case unstable.InlineTable:
		return "a table"
	default:
		return "a date or time"
	}
}
