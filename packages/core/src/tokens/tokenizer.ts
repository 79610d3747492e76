/** Conversion between text and tokens. */

export interface Tokenizer {
  encode(text: string): number[];
  /** Creates a decoder for one answer; it buffers a character until all of its tokens arrived. */
  createDecoder(): (token: number) => string;
}

/** One token per UTF-8 byte. */
export class ByteTokenizer implements Tokenizer {
  encode(text: string) {
    return [...new TextEncoder().encode(text)];
  }

  createDecoder() {
    const decoder = new TextDecoder();
    return (token: number) => decoder.decode(Uint8Array.of(token), { stream: true });
  }
}
