package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Diagnostic is one error in a file.
type Diagnostic struct {
	Line    int    // 1 is the first line; 0 when the line is not known
	Path    string // place in the file, such as vm[3].slots; empty for the whole file
	Message string
}

// FileError lists every error in a file, in the order of their lines.
type FileError struct {
	File        string
	Diagnostics []Diagnostic
}

// Error returns one line for each diagnostic.
func (e *FileError) Error() string {
	lines := make([]string, len(e.Diagnostics))
	for i, d := range e.Diagnostics {
		lines[i] = fmt.Sprintf("%s:%d: %s", e.File, d.Line, d.Message)
	}
	return strings.Join(lines, "\n")
}

// diagnostics collects the diagnostics of one file.
type diagnostics []Diagnostic

func (d *diagnostics) add(path, format string, args ...any) {
	*d = append(*d, Diagnostic{Path: path, Message: fmt.Sprintf(format, args...)})
}

// locate sets the line of each diagnostic from its path and sorts by line.
func (d diagnostics) locate(lines lineIndex) []Diagnostic {
	for i := range d {
		if d[i].Line == 0 {
			d[i].Line = lines.line(d[i].Path)
		}
	}
	slices.SortStableFunc(d, func(a, b Diagnostic) int { return cmp.Compare(a.Line, b.Line) })
	return d
}

// elementPath is the path of element i of a list, such as vm[3].
func elementPath(list string, i int) string { return fmt.Sprintf("%s[%d]", list, i) }
