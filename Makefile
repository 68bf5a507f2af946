.PHONY: demo test lint model bench capacity build

build:
	go build ./...

demo:
	./demo/demo.sh

lint:
	@test -z "$$(gofmt -l cmd internal)" || { gofmt -l cmd internal; echo 'gofmt: the files above'; exit 1; }
	go vet ./...
	go tool staticcheck ./...

test: lint
	go test -race -count=1 -timeout 5m ./...

bench:
	go run ./cmd/bench
