/** Binary min-heap for the order of teams within a round. None of the workspace's libraries has one. */

/** Smallest key first; equal keys in unspecified order. */
export class BinaryHeap<Item> {
    private readonly keys: number[] = [];
    private readonly items: Item[] = [];

    get size(): number {
        return this.items.length;
    }

    push(key: number, item: Item): void {
        let position = this.items.length;
        this.keys.push(key);
        this.items.push(item);
        while (position > 0) {
            const parent = (position - 1) >> 1;
            if (this.keys[parent]! <= key) {
                break;
            }
            this.move(parent, position);
            position = parent;
        }
        this.keys[position] = key;
        this.items[position] = item;
    }

    pop(): Item | undefined {
        const first = this.items[0];
        const lastKey = this.keys.pop();
        const lastItem = this.items.pop();
        if (this.items.length > 0) {
            this.sink(lastKey!, lastItem!);
        }
        return first;
    }

    private sink(key: number, item: Item): void {
        const length = this.items.length;
        let position = 0;
        for (;;) {
            let child = position * 2 + 1;
            if (child + 1 < length && this.keys[child + 1]! < this.keys[child]!) {
                child++;
            }
            if (child >= length || this.keys[child]! >= key) {
                break;
            }
            this.move(child, position);
            position = child;
        }
        this.keys[position] = key;
        this.items[position] = item;
    }

    private move(from: number, to: number): void {
        this.keys[to] = this.keys[from]!;
        this.items[to] = this.items[from]!;
    }
}
