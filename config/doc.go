// Package config turns questionnaire answers into the configuration that all processes follow.
//
// It owns the answer and configuration types, their validation, the generation, the canonical form, the
// explanation and the difference between two configurations. It never talks to the store and reads no file.
package config
