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
	for i, f := range e.Diagnostics {
		lines[i] = fmt.Sprintf("%s:%d: %s", e.File, f.Line, f.Message)
	}
	return strings.Join(lines, "\n")
}

// faults collects the faults of one file.
type faults []Diagnostic

func (f *faults) add(at, format string, args ...any) {
	*f = append(*f, Diagnostic{Path: at, Message: fmt.Sprintf(format, args...)})
}

// locate sets the line of each fault from its place and sorts by line.
func (f faults) locate(lines lineIndex) []Diagnostic {
	for i := range f {
		if f[i].Line == 0 {
			f[i].Line = lines.of(f[i].Path)
		}
	}
	slices.SortStableFunc(f, func(a, b Diagnostic) int { return cmp.Compare(a.Line, b.Line) })
	return f
}

// place names the element i of a list of the file.
func place(list string, i int) string { return fmt.Sprintf("%s[%d]", list, i) }
