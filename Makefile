.PHONY: build demo test model measure faults lint tidy fmt

build:
	@mkdir -p .bin
	@go build -o .bin/ ./cmd/...

demo: build
	@bash scripts/demo.sh

test:
	@bash scripts/test.sh

model:
	@bash scripts/model.sh

measure:
	@bash scripts/measure.sh

faults: build
	@bash scripts/faults.sh

lint:
	@bash scripts/tools.sh
	@bash scripts/lint.sh

tidy:
	@bash scripts/tidy.sh

fmt:
	@git ls-files -co --exclude-standard '*.go' | xargs -r .bin/gofumpt -w
