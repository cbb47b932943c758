/** Counts the requests that the entry works on. */
export class OpenCalls {
  count = 0;

  begin(): void {
    this.count += 1;
  }

  end(): void {
    this.count -= 1;
  }
}
