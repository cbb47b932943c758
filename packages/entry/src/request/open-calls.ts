/** Counts the requests in progress at the entry. */
export class OpenCalls {
  count = 0;

  begin(): void {
    this.count += 1;
  }

  end(): void {
    this.count -= 1;
  }
}
