// Command hornbeamstandin is a placeholder until its package exists.
package main

func main() {}
