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

// maxLineBytes bounds a line of input.
const maxLineBytes = 64 << 10

// session asks questions on a terminal. It is owned by one goroutine.
type session struct {
	in    *bufio.Scanner
	out   io.Writer
	draft draft
	// save stores the draft. It is called after each accepted answer.
	save func(draft) error
}

// errStopped is returned by a session whose input ended before all questions were answered.
var errStopped = types.NewFault(types.CodeCancelled, "stopped before the last question")

func newSession(in io.Reader, out io.Writer, d draft, save func(draft) error) *session {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	return &session{in: scanner, out: out, draft: d, save: save}
}

// run asks all questions that have no answer yet. Then, while answers contradict each other, it asks for those again.
func (s *session) run() error {
	if n := len(s.draft.Answered); n > 0 {
		s.printf("%d answers kept from the last session\n", n)
	}
	if err := s.askStruct(reflect.ValueOf(&s.draft.Answers).Elem(), ""); err != nil {
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

// correct asks again for the answers that the problems name, and then the questions that follow from the new answers.
func (s *session) correct(problems settings.Problems) error {
	for _, f := range problems {
		s.draft.Answered = slices.DeleteFunc(s.draft.Answered, func(path string) bool { return path == f.Path })
		if _, asked := config.QuestionAt(withoutIndices(f.Path)); !asked {
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
	return s.askStruct(reflect.ValueOf(&s.draft.Answers).Elem(), "")
}

// askStruct asks for the fields of v in order.
func (s *session) askStruct(v reflect.Value, path string) error {
	for i := range v.NumField() {
		at := settings.Join(path, jsonName(v.Type().Field(i)))
		if err := s.askField(v, v.Field(i), at); err != nil {
			return err
		}
	}
	return nil
}

// askField asks for field v of owner, unless it is answered or can be skipped.
func (s *session) askField(owner, v reflect.Value, path string) error {
	switch {
	case s.skip(owner, path):
		return nil
	case v.Kind() == reflect.Struct:
		return s.askStruct(v, path)
	case v.Kind() == reflect.Slice:
		return s.askList(v, path)
	case slices.Contains(s.draft.Answered, path):
		return nil
	}
	return s.ask(v, path)
}

// skip reports whether the question at path is left out, because earlier answers settle it or because few teams need
// it.
func (s *session) skip(owner reflect.Value, path string) bool {
	name := path[strings.LastIndexByte(path, '.')+1:]
	switch parent := owner.Addr().Interface().(type) {
	case *config.Answers:
		return name == "betweenRegionsMs" // correct asks for it when the data centres are in several regions
	case *config.ServiceAnswer:
		switch name {
		case "tableSlots", "cutOff":
			return !parent.Keyed
		case "staleMs":
			return parent.Keyed || parent.ReadOwnWrites
		}
	case *config.RequestAnswer:
		if name == "mayRunTwice" {
			// The class determines the value. In a file the field is checked against the class.
			parent.MayRunTwice = parent.Class == types.ClassLookup.String()
			return true
		}
		return name == "resendWithinMs" && parent.MayRunTwice
	case *config.TargetAnswer:
		return name == "slots" || name == "connections" || name == "weight"
	}
	return false
}

// askList asks for the number of elements, then for each element.
func (s *session) askList(v reflect.Value, path string) error {
	if !slices.Contains(s.draft.Answered, path) {
		if err := s.askCount(v, path); err != nil {
			return err
		}
	}
	for i := range v.Len() {
		if err := s.askStruct(v.Index(i), settings.Index(path, i)); err != nil {
			return err
		}
	}
	return nil
}

// askCount asks for the number of elements of v and extends it to that length.
func (s *session) askCount(v reflect.Value, path string) error {
	current := v.Len()
	s.printf("\nHow many %s?\n", countQuestion(path))
	for {
		text, err := s.readLine(path, defaultCount(current))
		if err != nil {
			return err
		}
		if text == "" {
			text = defaultCount(current)
		}
		n, err := strconv.Atoi(strings.TrimSpace(text))
		switch {
		case err != nil || n < 1 || n > maxElements:
			s.printf("! %q is not a number from 1 to %d\n", text, maxElements)
		case n < current:
			s.printf("! %d are described already; to drop some, edit the file\n", current)
		default:
			resize(v, n)
			return s.recordAnswered(path)
		}
	}
}

// defaultCount returns the suggested number of elements for a list with current elements.
func defaultCount(current int) string { return strconv.Itoa(max(current, 1)) }

// countQuestion returns the question for the number of elements of a list, without its "How many".
func countQuestion(path string) string {
	switch withoutIndices(path) {
	case "dataCentres":
		return "data centres are there"
	case "services":
		return "services do callers use"
	case "services[].requests":
		return "classes of requests does the service answer"
	}
	return "targets does the service have"
}

// ask asks the question at path, until its answer is accepted.
func (s *session) ask(v reflect.Value, path string) error {
	q, known := config.QuestionAt(withoutIndices(path))
	if !known {
		return types.NewFault(types.CodeInternal, "no question for %s", path)
	}
	suggested := s.suggestion(v, q, path)
	s.printQuestion(q, suggested)
	before := reflect.New(v.Type()).Elem()
	before.Set(v)
	for {
		text, err := s.readLine(path, suggested)
		if err != nil {
			return err
		}
		if done, err := s.assignOtherPath(text); done || err != nil {
			if err != nil {
				return err
			}
			continue
		}
		if strings.TrimSpace(text) == "" {
			text = suggested
		}
		if text == "" && q.DefaultText() != "" {
			return s.recordAnswered(path) // the default is computed when the configuration is generated
		}
		if err = assign(v, q, text); err == nil {
			err = s.contradiction(path)
		}
		if err == nil {
			return s.recordAnswered(path)
		}
		v.Set(before)
		s.printf("! %s\n", messageOf(err))
	}
}

// assignOtherPath handles a line of the form PATH=VALUE, which changes the answer at another path than the one that is
// asked for, often the better way to resolve a contradiction. done is true for such a line, also when its value is
// refused, and false for any other line.
func (s *session) assignOtherPath(text string) (done bool, err error) {
	path, value, err := assignment(strings.TrimSpace(text))
	if err != nil {
		return false, nil
	}
	if _, known := config.QuestionAt(withoutIndices(path)); !known {
		return false, nil
	}
	if err := Set(&s.draft.Answers, path, value); err != nil {
		s.printf("! %s\n", messageOf(err))
		return true, nil
	}
	s.printf("%s is now %s\n", path, value)
	return true, s.recordAnswered(path)
}

// printQuestion prints the question, its reason, and the options, unit and default of its answer.
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

// contradiction returns the first problem of the answers that concerns path.
func (s *session) contradiction(path string) error {
	for _, f := range settings.AsProblems(types.CodeBadConfiguration, s.draft.Answers.Validate()) {
		if f.Path == path {
			return f
		}
	}
	return nil
}

// readLine prints the prompt and reads one line.
func (s *session) readLine(path, suggested string) (string, error) {
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

// recordAnswered marks path as answered and saves the draft.
func (s *session) recordAnswered(path string) error {
	s.draft.Answered = append(s.draft.Answered, path)
	return s.save(s.draft)
}

func (s *session) printf(format string, args ...any) { fmt.Fprintf(s.out, format, args...) }

// messageOf returns the message of a fault without its path and code, or the text of another error.
func messageOf(err error) string {
	if f, ok := err.(*types.Fault); ok {
		return f.Message
	}
	return err.Error()
}
