// Package overload contains tests of a relay process beside clients that use up its memory or its processor:
// that write slowly, stop in the middle of a request, send heads of very many short fields, or send small and
// unsound requests at full speed. Ordinary clients of every front, the admin address and the control socket
// must still be answered in time, and the process must stay within its memory limit.
package overload
