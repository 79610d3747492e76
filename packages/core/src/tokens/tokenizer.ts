/** Text to tokens and back. */

export interface Tokenizer {
  encode(text: string): number[];
  /** Creates a decoder for one answer; it holds back incomplete characters. */
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
