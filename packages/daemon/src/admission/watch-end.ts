/** Tells when a streamed body has ended, was cut or is not read any more. */

/** Passes a stream on; `onEnd` is called once. */
export const watchEnd = (
	body: ReadableStream<Uint8Array>,
	onEnd: () => void,
): ReadableStream<Uint8Array> => {
	const reader = body.getReader();
	let hasEnded = false;
	const end = () => {
		if (!hasEnded) {
			hasEnded = true;
			onEnd();
		}
	};

	return new ReadableStream<Uint8Array>({
		async pull(controller) {
			try {
				const {done, value} = await reader.read();
				if (done) {
					end();
					controller.close();
				} else {
					controller.enqueue(value);
				}
			} catch (err) {
				end();
				controller.error(err);
			}
		},
		async cancel(reason) {
			end();
			await reader.cancel(reason);
		},
	});
};
