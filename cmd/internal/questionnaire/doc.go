// Package questionnaire fills in the answers of package config: question by question on a terminal, or from a file and
// single values without questions.
//
// Bad input is refused with one line and asked again. Every accepted answer is written to a draft file at once, so that
// an interrupted session goes on where it stopped.
package questionnaire
