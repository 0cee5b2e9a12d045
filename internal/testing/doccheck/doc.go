// Package doccheck holds the test that compares what the pages under docs/ name with what the code declares.
// It has no code of its own: a page that names a package, a type, a member or a file that is gone fails CI.
package doccheck
