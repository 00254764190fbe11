// Package questionnaire fills in the answers of package config, either question by question on a terminal or, in batch
// mode, from a file and single values.
//
// On a terminal it refuses bad input with a one-line message and asks again. Every accepted answer is written to a draft
// file at once, so that an interrupted session resumes where it stopped.
package questionnaire
