// Command sail-gateway accepts callers' requests and routes them to dispatchers.
package main

func main() {}
