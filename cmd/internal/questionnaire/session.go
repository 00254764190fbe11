package questionnaire

import (
	"bufio"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"sequoiasail.example/config"
	"sequoiasail.example/settings"
	"sequoiasail.example/types"
)

// maxLine bounds a typed line in bytes.
const maxLine = 64 << 10

// session asks questions on a terminal. It is owned by one goroutine.
type session struct {
	in    *bufio.Scanner
	out   io.Writer
	draft draft
	// save keeps the draft after each answer.
	save func(draft) error
}

// errStopped ends a session whose input ended before all questions were answered.
var errStopped = types.NewFault(types.CodeCancelled, "stopped before the last question")

func newSession(in io.Reader, out io.Writer, d draft, save func(draft) error) *session {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLine)
	return &session{in: scanner, out: out, draft: d, save: save}
}

// run asks all questions that have no answer, then those whose answers contradict each other, until none does.
func (s *session) run() error {
	if n := len(s.draft.Answered); n > 0 {
		s.printf("%d answers kept from the last session\n", n)
	}
	if err := s.structure(reflect.ValueOf(&s.draft.Answers).Elem(), ""); err != nil {
		return err
	}
	for {
		problems := settings.AsProblems(types.CodeBadConfiguration, s.draft.Answers.Validate())
		if len(problems) == 0 {
			return nil
		}
		s.printf("\nThese answers do not fit together:\n")
		for _, f := range problems {
			s.printf("  %s: %s\n", f.Path, f.Message)
		}
		s.printf("Answer again, or change another answer first by typing PATH=VALUE.\n")
		if err := s.correct(problems); err != nil {
			return err
		}
	}
}

// correct asks the questions at fault again, and then those that the new answers raise.
func (s *session) correct(problems settings.Problems) error {
	for _, f := range problems {
		s.draft.Answered = slices.DeleteFunc(s.draft.Answered, func(path string) bool { return path == f.Path })
		if _, asked := config.QuestionAt(pattern(f.Path)); !asked {
			continue
		}
		v, err := locate(reflect.ValueOf(&s.draft.Answers).Elem(), f.Path)
		if err != nil {
			return err
		}
		if err := s.ask(v, f.Path); err != nil {
			return err
		}
	}
	return s.structure(reflect.ValueOf(&s.draft.Answers).Elem(), "")
}

// structure asks for the fields of v in order.
func (s *session) structure(v reflect.Value, path string) error {
	for i := range v.NumField() {
		at := settings.Join(path, jsonName(v.Type().Field(i)))
		if err := s.field(v, v.Field(i), at); err != nil {
			return err
		}
	}
	return nil
}

func (s *session) field(owner, v reflect.Value, path string) error {
	switch {
	case s.skips(owner, path):
		return nil
	case v.Kind() == reflect.Struct:
		return s.structure(v, path)
	case v.Kind() == reflect.Slice:
		return s.list(v, path)
	case slices.Contains(s.draft.Answered, path):
		return nil
	}
	return s.ask(v, path)
}

// skips reports whether earlier answers, or the habit of most teams, make the question at path pointless.
func (s *session) skips(owner reflect.Value, path string) bool {
	name := path[strings.LastIndexByte(path, '.')+1:]
	switch o := owner.Addr().Interface().(type) {
	case *config.Answers:
		return name == "betweenRegionsMs" // asked when the data centres turn out to be in several regions
	case *config.ServiceAnswer:
		switch name {
		case "tableSlots", "cutOff":
			return !o.Keyed
		case "staleMs":
			return o.Keyed || o.ReadOwnWrites
		}
	case *config.RequestAnswer:
		if name == "mayRunTwice" {
			// The class says it; the field exists so that a contradiction in a file is noticed.
			o.MayRunTwice = o.Class == types.ClassLookup.String()
			return true
		}
		return name == "resendWithinMs" && o.MayRunTwice
	case *config.TargetAnswer:
		return name == "slots" || name == "connections" || name == "weight"
	}
	return false
}

// list asks for the number of elements, then for each element.
func (s *session) list(v reflect.Value, path string) error {
	if !slices.Contains(s.draft.Answered, path) {
		if err := s.count(v, path); err != nil {
			return err
		}
	}
	for i := range v.Len() {
		if err := s.structure(v.Index(i), settings.Index(path, i)); err != nil {
			return err
		}
	}
	return nil
}

func (s *session) count(v reflect.Value, path string) error {
	have := v.Len()
	s.printf("\nHow many %s?\n", listName(path))
	for {
		text, err := s.line(path, defaultCount(have))
		if err != nil {
			return err
		}
		if text == "" {
			text = defaultCount(have)
		}
		n, err := strconv.Atoi(strings.TrimSpace(text))
		switch {
		case err != nil || n < 1 || n > maxElements:
			s.printf("! %q is not a number from 1 to %d\n", text, maxElements)
		case n < have:
			s.printf("! %d are described already; to drop some, edit the file\n", have)
		default:
			resize(v, n)
			return s.answered(path)
		}
	}
}

func defaultCount(have int) string { return strconv.Itoa(max(have, 1)) }

// listName returns the words for the elements of a list.
func listName(path string) string {
	switch pattern(path) {
	case "dataCentres":
		return "data centres are there"
	case "services":
		return "services do callers use"
	case "services[].requests":
		return "classes of requests does the service answer"
	}
	return "targets does the service have"
}

// ask asks one question until its answer is accepted.
func (s *session) ask(v reflect.Value, path string) error {
	q, known := config.QuestionAt(pattern(path))
	if !known {
		return types.NewFault(types.CodeInternal, "no question for %s", path)
	}
	suggested := s.suggestion(v, q, path)
	s.printQuestion(q, suggested)
	before := reflect.New(v.Type()).Elem()
	before.Set(v)
	for {
		text, err := s.line(path, suggested)
		if err != nil {
			return err
		}
		if done, err := s.assignOther(text); done || err != nil {
			if err != nil {
				return err
			}
			continue
		}
		if strings.TrimSpace(text) == "" {
			text = suggested
		}
		if text == "" && q.DefaultText() != "" {
			return s.answered(path) // the default is computed when the configuration is generated
		}
		if err = assign(v, q, text); err == nil {
			err = s.contradiction(path)
		}
		if err == nil {
			return s.answered(path)
		}
		v.Set(before)
		s.printf("! %s\n", messageOf(err))
	}
}

// assignOther handles "PATH=VALUE", which changes another answer than the one that is asked for. A contradiction is often
// best solved there.
func (s *session) assignOther(text string) (done bool, err error) {
	path, value, err := assignment(strings.TrimSpace(text))
	if err != nil {
		return false, nil
	}
	if _, known := config.QuestionAt(pattern(path)); !known {
		return false, nil
	}
	if err := Set(&s.draft.Answers, path, value); err != nil {
		s.printf("! %s\n", messageOf(err))
		return true, nil
	}
	s.printf("%s is now %s\n", path, value)
	return true, s.answered(path)
}

func (s *session) printQuestion(q config.Question, suggested string) {
	s.printf("\n%s\n", q.Text)
	s.printf("  %s\n", q.Reason)
	if len(q.Options) > 0 {
		s.printf("  one of: %s\n", strings.Join(q.Options, ", "))
	}
	if q.Unit != "" {
		s.printf("  unit: %s\n", q.Unit)
	}
	if suggested == "" && q.DefaultText() != "" {
		s.printf("  default: %s\n", q.DefaultText())
	}
}

// contradiction reports a contradiction between the answer at path and the ones before.
func (s *session) contradiction(path string) error {
	for _, f := range settings.AsProblems(types.CodeBadConfiguration, s.draft.Answers.Validate()) {
		if f.Path == path {
			return f
		}
	}
	return nil
}

// line prints the prompt and reads one line.
func (s *session) line(path, suggested string) (string, error) {
	if suggested != "" {
		s.printf("%s [%s]: ", path, suggested)
	} else {
		s.printf("%s: ", path)
	}
	if !s.in.Scan() {
		s.printf("\n")
		return "", errStopped
	}
	return s.in.Text(), nil
}

func (s *session) answered(path string) error {
	s.draft.Answered = append(s.draft.Answered, path)
	return s.save(s.draft)
}

func (s *session) printf(format string, args ...any) { fmt.Fprintf(s.out, format, args...) }

func messageOf(err error) string {
	if f, ok := err.(*types.Fault); ok {
		return f.Message
	}
	return err.Error()
}
