// Package opcli implements toucanctl, the command line for operators.
//
// The commands check, diff, show, publish and checkpoint read and write the log
// through the platform. The commands status and report query the administration
// listeners of entries. The command config check reads files only. The command
// dev runs a small fleet in one process, and bench runs the measurements of
// package bench.
//
// [Main] returns the exit code. The constants from exitOK to exitAtRisk and the
// help text list the codes.
package opcli
